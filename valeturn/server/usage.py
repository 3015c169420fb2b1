"""The command line's usage text, in the form that docopt reads."""

from __future__ import annotations

USAGE = """valeturn: admission and scheduling for servers behind balancers that cannot be changed.

Usage:
  valeturn
  valeturn serve [--config FILE] [--settings FILE] [--verbose]
  valeturn check [FILE] [--settings FILE]
  valeturn store (inspect | verify | compact) DIR
  valeturn status SOCKET... [--json]
  valeturn metrics SOCKET
  valeturn top SOCKET...
  valeturn level hold NAME --for TIME SOCKET...
  valeturn level free SOCKET...
  valeturn fleet status SOCKET... [--json]
  valeturn fleet hand-over [--to NAME] SOCKET
  valeturn fleet (admit | dismiss) NAME SOCKET
  valeturn fleet leave SOCKET
  valeturn fleet out (NAMES | --zone ZONE | --all) --for TEXT [--work TIME] [--urgent] [--wait TIME] SOCKET
  valeturn fleet back NAMES SOCKET
  valeturn fleet turns SOCKET [--json]
  valeturn fleet (hold | go-on) SOCKET
  valeturn fleet revive [--i-know] SOCKET
  valeturn fleet fenced-replace FILE [--fence N]
  valeturn lab restarts [--kills N] [--seed S] [--lanes L] [--keep DIR]
  valeturn lab soak [--seeds A-B]
  valeturn lab store [--keys N] [--folder DIR]
  valeturn lab levels [--shape NAME] [--minutes M] [--servers N] [--seed S] [--seeds N] [--report DIR]
                      [--real] [--seconds T]
  valeturn lab fleet-days [--day NAMES] [--servers N] [--gateways G] [--seconds T] [--seed S] [--seeds N]
                          [--against POLICIES]
  valeturn lab owner [--virtual | --measure] [--servers N] [--faults N] [--seed S] [--seeds N]
                     [--no-fences] [--keep DIR]
  valeturn lab turns [--virtual] [--servers N] [--faults N] [--seed S] [--seeds N] [--keep DIR]
  valeturn lab shares [--servers N] [--seed S] [--seeds N]
  valeturn lab members [--servers N] [--loss S] [--slow S] [--minutes M] [--seed S]
  valeturn version
  valeturn --help

Commands:
  serve      Serve until SIGTERM, which drains. The same as no command. SIGUSR1 prints the counters.
             SIGHUP takes new addresses of executor, ledger and name service from the file.
  check      Read and check a configuration, and say in one line what is wrong with it; with --settings the
             operator's file too, with a line for each thing that is wrong.
  store      Of a folder of kept results: what is in it; whether all of it is whole; write it anew without
             what is over. The server must not be running on it for the last.
  status     Of running servers, by the control sockets that their operator's files name: level and why, work,
             answers. `metrics`: the same as Prometheus's text, where [metrics] is on. `level hold` holds a
             level by hand for a time, logged; `level free` ends that.
  fleet      Of servers that talk to each other: who is there and who owns what; the owner hands over, takes a
             voter in or votes one out; a server goes out of the fleet and serves on; one that is left of a
             majority lost for good goes on alone. `fenced-replace` replaces a file with standard input unless
             a higher number was there: exit code 3 then.
  lab        The laboratory: `restarts` kills and restarts a server on loopback and counts effects; `store`
             measures the store beside plain sqlite3; `levels` plays a load in virtual time, with levels and
             without; `fleet-days` plays the days that hurt a whole fleet, in virtual time;
             `owner` lets servers elect one that acts, under a storm of faults; `members` lets so many find
             and lose each other; both in virtual time.
  version    Print the version.

Options:
  --config FILE    The configuration; else the variable EDGE_CONFIG names it.
  --settings FILE  The operator's own file (deploy/valeturn.ini has all it may hold).
  --verbose        Log each answer with its call, workload, kind and time.
  --to NAME        The voter that is to be the next owner.
  --i-know         No server of the lost majority will come back with what it knew.
  --fence N        The number under which it is done; else VALETURN_FENCE.
  --no-fences      What the duty touches compares no numbers: to see that the storm does harm then.
  --json           The whole status, for programs.
  --for TIME       How long a level is held, such as 5min: a day at the most; of turns: what for.
  --zone ZONE      All servers of it that are there.
  --all            All servers that are there.
  --work TIME      That the work may take; else what [turns] says.
  --urgent         Before those that are not, within a bound.
  --wait TIME      Ends once all of them are empty (0), or it was refused (3), or that time is over (4).
  --kills N        How often the server is killed [default: 50].
  --seed S         For all chance [default: 1].
  --lanes L        Servers killed side by side, each with parties of its own [default: 4].
  --shape NAME     Of load: steady step sine slow-sine mild-sine wild-sine burst
                   slow failing lost lost-tight [default: sine].
  --minutes M      Of virtual time [default: 10].
  --servers N      Emulated servers [default: 20].
  --day NAMES      all, or of calm roll herd zone split join, with commas [default: all].
  --gateways G     Emulated gateways [default: 10].
  --seconds T      Of virtual time; of real time with --real [default: 40].
  --virtual        In virtual time; more than nine servers are whole ones, of which nine vote.
  --measure        What a fleet costs, and how long it is without an owner.
  --faults N       How many faults [default: 100].
  --loss S         Share of messages between servers that never come [default: 0].
  --slow S         Share of servers that answer late [default: 0].
  --real           Real servers on loopback, beside the emulator with the same load.
  --against POLICIES  Played on the same demand: pool, or a file with an earlier module; with commas.
  --seeds N        How many seeds, from --seed on; of a soak, which: A-B [default: 1].
  --report DIR     Write an HTML page with plots there (pip install -r requirements-lab.txt).
  --keep DIR       Keep the logs and folders there.
  --keys N         Keys to store [default: 100000].
  --folder DIR     Where to measure; else a temporary one.
  -h --help        Show this.

EDGE_NAME and EDGE_LISTEN, where set, go before the configuration's name and listen.
Exit codes: 0 all well, 1 failed while serving, or damage or a broken rule was found, 2 the configuration, the
operator's file or the command line is wrong, or another process has the store.
"""
