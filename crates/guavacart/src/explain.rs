//! `guavacart explain`: why something was done, from the logs of all nodes, or where a job would go,
//! from a node.

mod answer;
mod job;
mod logs;

use getopts::{Matches, Options};

use crate::{command::Command, exit::Failure};

pub(crate) const COMMAND: Command = Command {
    name: "explain",
    arguments: "ID [FILE...]\n       guavacart explain --node ADDRESS --queue QUEUE JOB-FILE",
    summary: "Print the log lines that name a job, task or executor, of all nodes in order of time; \
              with --node, where a job would go",
    options,
    takes_version: false,
    run,
};

fn options(options: &mut Options) {
    options.optflag("", "json", "print the lines or the answer as JSON");
    options.optopt(
        "",
        "node",
        "ask the node whose metrics are at this IP address and port where the tasks of the job in \
         JOB-FILE would start now; nothing is submitted",
        "ADDRESS",
    );
    options.optopt("", "queue", "the queue that would get the job", "QUEUE");
}

fn run(matches: &Matches) -> Result<(), Failure> {
    match matches.opt_str("node") {
        Some(node) => job::run(matches, &node),
        None if matches.opt_present("queue") => {
            Err(Failure::Usage("--queue needs --node ADDRESS".into()))
        }
        None => logs::run(matches),
    }
}
