//! `guavacart status`: the state of the deployment, a job or a task.

use getopts::{Matches, Options};
use guavacart_types::{JobId, TaskId};
use smol_str::format_smolstr;

use crate::{
    cli::print_json,
    command::{Command, client, client_options, parse},
    exit::Failure,
};

pub(crate) const COMMAND: Command = Command {
    name: "status",
    arguments: "[JOB] [--why TASK]",
    summary: "Print the state of the deployment, of a job, or why a task is where it is",
    options,
    takes_version: false,
    run,
};

fn options(options: &mut Options) {
    client_options(options);
    options.optopt(
        "w",
        "why",
        "a task of the job, as JOB/INDEX or INDEX",
        "TASK",
    );
}

fn run(matches: &Matches) -> Result<(), Failure> {
    let path = path(matches)?;
    print_json(&client(matches)?.get(&path)?.success()?)
}

fn path(matches: &Matches) -> Result<String, Failure> {
    let why = matches.opt_str("why");
    let job = match matches.free.as_slice() {
        [] => None,
        [job] => Some(parse::<JobId>("JOB", job)?),
        _ => return Err(Failure::Usage("expected at most one JOB".into())),
    };
    let Some(why) = why else {
        return Ok(job.map_or("/v1/status".to_owned(), |job| format!("/v1/jobs/{job}")));
    };
    let task = match job {
        Some(job) if !why.contains('/') => TaskId {
            job,
            index: parse("--why", &why)?,
        },
        job => {
            let task: TaskId = parse("--why", &why)?;
            if job.is_some_and(|job| job != task.job) {
                let text = format_smolstr!("--why: {task} is not a task of the job named");
                return Err(Failure::Usage(text));
            }
            task
        }
    };
    Ok(format!("/v1/jobs/{}?why={}", task.job, task.index))
}
