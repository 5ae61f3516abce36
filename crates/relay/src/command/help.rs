//! The words of `--help`.

pub const OVERVIEW: &str = "\
Usage: pewterseam COMMAND [ARGUMENTS]

Accepts messages over HTTP, keeps them, and delivers them to other firms' systems.

The system:
  relay      Run a relay of the whole system
  store      Run a store of the whole system
  local      Run a small system on this machine
  status     Print what a relay knows of itself and the system
  config     Check an operator's configuration, read or put one
  log        Print what a data folder holds
  snapshot   Save the agreed state of a core member, or restore it where half of the core's disks or more are gone

A single relay or a fleet:
  serve      Run a relay in the foreground
  counters   Print the counters of a running relay
  journal    Print what a journal holds

Both:
  check      Read a configuration or a settings file and say whether a process could start with it
  version    Print the version

`pewterseam COMMAND --help` tells the arguments of one command.
";

pub const SERVE: &str = "\
Usage: pewterseam serve [--config FILE] [--state FOLDER] [--operator FILE]

Run a relay in the foreground.

  --config FILE      configuration file (default: $NODE_CONFIG)
  --state FOLDER     folder that outlasts the process (default: $NODE_STATE)
  --operator FILE    operator's file, which forms a fleet (default: $PEWTERSEAM_OPERATOR, else none)
";

pub const CHECK: &str = "\
Usage: pewterseam check [--config FILE] [--operator FILE]
       pewterseam check --settings FILE

Read a configuration and say whether a relay could start with it; or read the settings file of a process of the whole
system, and tell all that is wrong with it at once.

  --config FILE      configuration file of `serve` (default: $NODE_CONFIG)
  --operator FILE    operator's file, which forms a fleet (default: $PEWTERSEAM_OPERATOR, else none)
  --settings FILE    settings file of `relay` and `store`
";

pub const COUNTERS: &str = "\
Usage: pewterseam counters ADDRESS

Print the counters of a running relay of `serve`.

  ADDRESS    where the relay listens for clients
";

pub const JOURNAL: &str = "\
Usage: pewterseam journal FOLDER [--records]

Print what a journal of `serve` holds; the relay may run meanwhile.

  FOLDER       folder of the journal
  --records    print each record, not only the messages on hand
";

pub const VERSION: &str = "\
Usage: pewterseam version

Print the version.
";

pub const RELAY: &str = "\
Usage: pewterseam relay

Run a relay of the whole system. $PEWTERSEAM_NODE_FILE names its settings file, $PEWTERSEAM_LOG the level of its log
(error, warn, info, debug or off).
";

pub const STORE: &str = "\
Usage: pewterseam store

Run a store of the whole system. $PEWTERSEAM_NODE_FILE names its settings file, $PEWTERSEAM_LOG the level of its log
(error, warn, info, debug or off).
";

pub const CONFIG: &str = "\
Usage: pewterseam config check FILE
       pewterseam config get ADDRESS
       pewterseam config put ADDRESS FILE [--if-match VERSION]

Check an operator's configuration and tell all that is wrong with it at once; print the one in place; put another one.

  FILE                  configuration, JSON
  ADDRESS               `control` in the `bindAddrs` of any relay
  --if-match VERSION    the version that it builds on (default: the one in place)
";

pub const STATUS: &str = "\
Usage: pewterseam status ADDRESS

Print what a relay knows: whether it is ready, the configuration in force, messages on hand, the core and its leader,
the stores, and who lives.

  ADDRESS    `control` in the `bindAddrs` of the relay
";

pub const LOG: &str = "\
Usage: pewterseam log FOLDER [--names]

Print what the data folder of a store or of a relay holds: files, records, messages by state, the configuration; and
damage, with what to do. Nothing in the folder is changed, and the process may run meanwhile.

  FOLDER     `dataDir` in the process's settings
  --names    print each message
";

pub const SNAPSHOT: &str = "\
Usage: pewterseam snapshot save FOLDER FILE
       pewterseam snapshot restore FILE FOLDER --name NAME

Save the newest state that the data folder of a core member holds. Restore it into an empty data folder where half of the
core's disks or more are gone for good: a new epoch is forced, in which that member alone is the core. What had been
agreed on after the saved state is lost; docs/recovery.md says when and how.

  FOLDER         `dataDir` in the settings of a relay that is of the core
  FILE           the file to write, which must not be there yet, or to read
  --name NAME    `name` in the settings of the relay that will run on the folder
";

pub const LOCAL: &str = "\
Usage: pewterseam local [--for SECONDS] [--port PORT] [--folder FOLDER]

Run a small system on this machine, on 127.0.0.2 to 127.0.0.7: three relays, three stores, and a stand-in for the
platform's list and for two hosts. A process that ends is started again. Ctrl-C ends all.

  --for SECONDS      end by itself after this time
  --port PORT        the first of four ports that each address uses (default: 7300; 0: any that are free)
  --folder FOLDER    where settings, logs and data go, and stay (default: a folder that is removed at the end)
";
