//! `guavacart status`: prints the state of the deployment or of a job, or the last decision on a
//! task.

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
    summary: "Print the state of the deployment or of a job, or the last decision on a task",
    options,
    takes_version: false,
    run,
};

fn options(options: &mut Options) {
    client_options(options);
    options.optopt(
        "w",
        "why",
        "print the last decision on this task, given as JOB/INDEX, or as INDEX after JOB",
        "TASK",
    );
    options.optflag(
        "j",
        "json",
        "print the state of the deployment as JSON instead of tables",
    );
}

fn run(matches: &Matches) -> Result<(), Failure> {
    let query = Query::from_matches(matches)?;
    let body = client(matches)?.get(&query.path())?.success()?;
    match query {
        Query::Why(task) => print_line(&last_decision(&task, &body)?),
        Query::Deployment if !matches.opt_present("json") => print_line(&table::render(&body)),
        Query::Deployment | Query::Job(_) => print_json(&body),
    }
}

/// What the command line asks for.
enum Query {
    /// The state of the deployment.
    Deployment,
    /// The state of a job.
    Job(JobId),
    /// The last decision on a task.
    Why(TaskId),
}

impl Query {
    fn from_matches(matches: &Matches) -> Result<Self, Failure> {
        let job = match matches.free.as_slice() {
            [] => None,
            [job] => Some(parse::<JobId>("JOB", job)?),
            _ => return Err(Failure::Usage("expected at most one JOB".into())),
        };
        match matches.opt_str("why") {
            Some(why) => Ok(Self::Why(parse_task(job, &why)?)),
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

/// Parses the value of `--why`, which may leave out the job if `job` is given.
fn parse_task(job: Option<JobId>, why: &str) -> Result<TaskId, Failure> {
    match job {
        Some(job) if !why.contains('/') => Ok(TaskId {
            job,
            index: parse("--why", why)?,
        }),
        job => {
            let task: TaskId = parse("--why", why)?;
            if job.is_some_and(|job| job != task.job) {
                let text = format_smolstr!(
                    "--why: {task} is not a task of JOB; name one of its tasks or leave out JOB"
                );
                return Err(Failure::Usage(text));
            }
            Ok(task)
        }
    }
}

/// Returns the last decision on a task, taken from the status of its job.
fn last_decision(task: &TaskId, body: &Value) -> Result<String, Failure> {
    let unfinished = body.get("unfinished").and_then(Value::as_array);
    let mut unfinished = unfinished.into_iter().flatten();
    let found = unfinished.find(|item| item.get("index") == Some(&Value::from(task.index)));
    let Some(found) = found else {
        let text = format_smolstr!(
            "{task} is not among the unfinished tasks in the job's status; check the index, or \
             leave out --why to see the job"
        );
        return Err(Failure::Rejected(text));
    };
    let decision = found.get("decision").and_then(Value::as_str);
    let worker = found.get("worker").and_then(Value::as_str);
    let assignment = worker.map_or("not assigned to a worker".to_owned(), |id| {
        format!("assigned to worker {id}")
    });
    Ok(format!(
        "{task}: {}; {assignment}",
        decision.unwrap_or("no decision yet")
    ))
}
