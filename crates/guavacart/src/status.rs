//! `guavacart status`: the state of the deployment, a job or a task.

mod table;

use getopts::{Matches, Options};
use guavacart_types::{JobId, TaskId};
use serde_json::Value;
use smol_str::format_smolstr;

use crate::{
    cli::{print_json, print_line},
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
    options.optflag("j", "json", "print the JSON that the instance answered");
}

fn run(matches: &Matches) -> Result<(), Failure> {
    let asked = Asked::of(matches)?;
    let body = client(matches)?.get(&asked.path())?.success()?;
    match asked {
        Asked::Why(task) => print_line(&why(&task, &body)?),
        Asked::Deployment if !matches.opt_present("json") => print_line(&table::render(&body)),
        Asked::Deployment | Asked::Job(_) => print_json(&body),
    }
}

/// What the command line asks about.
enum Asked {
    Deployment,
    Job(JobId),
    Why(TaskId),
}

impl Asked {
    fn of(matches: &Matches) -> Result<Self, Failure> {
        let job = match matches.free.as_slice() {
            [] => None,
            [job] => Some(parse::<JobId>("JOB", job)?),
            _ => return Err(Failure::Usage("expected at most one JOB".into())),
        };
        match matches.opt_str("why") {
            Some(why) => Ok(Self::Why(task(job, &why)?)),
            None => Ok(job.map_or(Self::Deployment, Self::Job)),
        }
    }

    fn path(&self) -> String {
        match self {
            Self::Deployment => "/v1/status".to_owned(),
            Self::Job(job) => format!("/v1/jobs/{job}"),
            Self::Why(task) => format!("/v1/jobs/{}", task.job),
        }
    }
}

fn task(job: Option<JobId>, why: &str) -> Result<TaskId, Failure> {
    match job {
        Some(job) if !why.contains('/') => Ok(TaskId {
            job,
            index: parse("--why", why)?,
        }),
        job => {
            let task: TaskId = parse("--why", why)?;
            if job.is_some_and(|job| job != task.job) {
                let text = format_smolstr!("--why: {task} is not a task of the job named");
                return Err(Failure::Usage(text));
            }
            Ok(task)
        }
    }
}

/// The last decision on a task, from the job's status.
fn why(task: &TaskId, body: &Value) -> Result<String, Failure> {
    let unfinished = body.get("unfinished").and_then(Value::as_array);
    let mut unfinished = unfinished.into_iter().flatten();
    let found = unfinished.find(|one| one.get("index") == Some(&Value::from(task.index)));
    let Some(found) = found else {
        let text =
            format_smolstr!("{task} is not among the unfinished tasks that the job's status lists");
        return Err(Failure::Rejected(text));
    };
    let decision = found.get("decision").and_then(Value::as_str);
    let worker = found.get("worker").and_then(Value::as_str);
    let place = worker.map_or("holds no worker".to_owned(), |id| {
        format!("holds worker {id}")
    });
    Ok(format!(
        "{task}: {}; {place}",
        decision.unwrap_or("no decision yet")
    ))
}
