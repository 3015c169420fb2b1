#!/bin/sh
# Runs a case several times with and without its disruption: review/repeat.sh N [TIMES]; prints the exit codes.
cd "$(dirname "$0")/.." || exit 2
for trouble in 1 0; do
    codes=""
    for _ in $(seq "${2:-5}"); do
        TROUBLE=$trouble "review/$1/run.sh"
        codes="$codes $?"
    done
    echo "case $1, TROUBLE=$trouble: exit codes$codes"
done
