"""The command line's usage text, in the form that docopt reads."""

from __future__ import annotations

USAGE = """valeturn: admission control and scheduling for servers behind load balancers.

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
  serve      Serve until SIGTERM, then drain and exit. This is the default command. SIGUSR1 logs the counters.
             SIGHUP reads the addresses of executor, ledger and name service from the file again.
  check      Check a configuration and print one line about its first error; with --settings check the
             operator's file too and print one line for each error.
  store      Work on the directory of a result store: show what it contains, verify it, or rewrite it without
             expired records. `compact` must not run while a server uses the directory.
  status     Show the degradation level with its reason, the load and the outcomes of running servers, which
             are named by their control sockets. `metrics` prints them in Prometheus's text format if
             [metrics] is configured. `level hold` holds a level manually for a time, `level free` releases
             it; both are logged.
  fleet      Show and change the cluster: its members, its owner and its voters. `hand-over` transfers
             ownership, `admit` and `dismiss` add and remove a voter, `leave` takes a server out of the
             cluster while it serves on, and `revive` lets one server go on alone after the majority was lost
             for good. `out`, `back`, `turns`, `hold` and `go-on` request, withdraw, show, pause and resume
             maintenance. `fenced-replace` replaces a file with standard input unless a higher fencing token
             was used: then its exit code is 3.
  lab        Run tests and experiments of the laboratory: `restarts` kills and restarts a server on loopback
             and counts effects; `store` compares the result store with plain sqlite3; `levels` applies a load
             in virtual time, with and without degradation levels; `fleet-days` simulates difficult days of a
             whole fleet in virtual time; `owner` tests the election of an owner under faults; `members` tests
             whether many servers detect each other's joining and failure, both in virtual time.
  version    Print the version.

Options:
  --config FILE    The configuration file; EDGE_CONFIG names it if not given.
  --settings FILE  The operator's file; deploy/valeturn.ini shows all of its keys.
  --verbose        Log each answer with its call, workload, kind and time.
  --to NAME        The voter that becomes the next owner.
  --i-know         Confirm that no server of the lost majority will return with its state.
  --fence N        The fencing token of the replacement; VALETURN_FENCE if not given.
  --no-fences      Tasks do not check fencing tokens: shows which damage the faults do then.
  --json           Print the whole status as JSON.
  --for TIME       How long a level is held, such as 5min, for a day at most; for `out`, the reason as text.
  --zone ZONE      All live servers of a zone.
  --all            All live servers.
  --work TIME      How long the maintenance work may take; [turns] has the default.
  --urgent         Go ahead of servers that are not urgent, within a limit.
  --wait TIME      Exit once all servers are empty (0), the request was refused (3) or the time is over (4).
  --kills N        How many times the server is killed [default: 50].
  --seed S         Seed of all random numbers [default: 1].
  --lanes L        Servers tested in parallel, each with its own executor and services [default: 4].
  --shape NAME     Shape of the load: steady step sine slow-sine mild-sine wild-sine burst
                   slow failing lost lost-tight [default: sine].
  --minutes M      Virtual time in minutes [default: 10].
  --servers N      Number of emulated servers [default: 20].
  --day NAMES      all, or any of calm roll herd zone split join, separated by commas [default: all].
  --gateways G     Number of emulated gateways [default: 10].
  --seconds T      Virtual time in seconds; real time with --real [default: 40].
  --virtual        Run in virtual time; with more than nine servers, nine of them vote.
  --measure        Measure the cost of a cluster and how long it is without an owner.
  --faults N       Number of injected faults [default: 100].
  --loss S         Share of messages between servers that are lost [default: 0].
  --slow S         Share of servers that answer late [default: 0].
  --real           Real servers on loopback, beside the emulator with the same load.
  --against POLICIES  Compare with these on the same demand, separated by commas: pool, or a file with an
                   earlier module.
  --seeds N        Number of seeds, from --seed on; for `soak` a range A-B [default: 1].
  --report DIR     Write an HTML page with plots there (pip install -r requirements-lab.txt).
  --keep DIR       Keep the logs and directories there.
  --keys N         Number of keys to store [default: 100000].
  --folder DIR     Directory to measure in; a temporary one if not given.
  -h --help        Show this text.

EDGE_NAME and EDGE_LISTEN, if set, override the configuration's name and listen.
Exit codes: 0 success, 1 a failure while serving, damage found or a rule violated, 2 an error in the
configuration, the operator's file or the command line, or the store is in use by another process.
"""
