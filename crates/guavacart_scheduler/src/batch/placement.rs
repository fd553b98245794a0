//! Where a task goes: least loaded worker that holds it, with reservations and backfill.

use std::collections::BTreeMap;

use guavacart_types::{DataCentre, Rack, Resources, Span, TaskId, Timestamp, WorkerId};

/// What placement knows of one worker.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: Rack,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Tasks of the job in the same rack or data centre, if the job is to be spread.
    pub beside: u32,
    /// What it holds.
    pub capacity: Resources,
    /// What is committed on it.
    pub used: Resources,
    /// How many more tasks it may take now; 0 for one that leaves or is on probation.
    pub openings: u32,
    /// What the task's class costs there beyond the usual; from measured interference.
    pub cost: u64,
    /// What is kept for tasks with a reservation.
    pub reserved: Resources,
    /// When the reserved tasks are expected to start.
    pub reserved_at: Timestamp,
}

/// A task that looks for a place.
#[derive(Clone, Debug)]
pub struct Want<'a> {
    /// What it takes.
    pub resources: Resources,
    /// When it would end if it started now.
    pub ends_at: Timestamp,
    /// Workers on which it failed.
    pub failed_on: &'a [WorkerId],
    /// The worker that is reserved for it.
    pub reserved: Option<&'a WorkerId>,
}

/// Chooses a worker that holds the task without breaking a reservation.
pub fn choose(candidates: &[Candidate], want: &Want<'_>) -> Option<usize> {
    let fitting = (0..candidates.len()).filter(|i| fits(&candidates[*i], want));
    fitting.min_by_key(|i| score(&candidates[*i], want))
}

/// Chooses the first worker that holds the task without breaking a reservation; for comparison.
pub fn choose_first(candidates: &[Candidate], want: &Want<'_>) -> Option<usize> {
    candidates.iter().position(|c| fits(c, want))
}

fn fits(candidate: &Candidate, want: &Want<'_>) -> bool {
    if candidate.openings == 0 || want.failed_on.contains(&candidate.worker) {
        return false;
    }
    let taken = candidate.used.plus(&want.resources);
    if !taken.fits_in(&candidate.capacity) {
        return false;
    }
    let own = want.reserved == Some(&candidate.worker);
    let beside = taken.plus(&candidate.reserved);
    own || beside.fits_in(&candidate.capacity) || want.ends_at <= candidate.reserved_at
}

/// Order among workers that hold the task: spread, measured cost, accelerators spared, load.
fn score(candidate: &Candidate, want: &Want<'_>) -> (bool, u32, u64, u32, u64) {
    let other = want.reserved != Some(&candidate.worker);
    let spared = match want.resources.accelerators.0 {
        0 => candidate.capacity.accelerators.0,
        _ => 0,
    };
    let taken = candidate.used.plus(&want.resources);
    (
        other,
        candidate.beside,
        candidate.cost,
        spared,
        load_ppm(&taken, &candidate.capacity),
    )
}

/// The fullest part, in parts per million.
fn load_ppm(used: &Resources, capacity: &Resources) -> u64 {
    let part = |used: u64, capacity: u64| {
        let scaled = u128::from(used) * 1_000_000 / u128::from(capacity.max(1));
        u64::try_from(scaled).unwrap_or(u64::MAX)
    };
    let processors = part(used.processors.0, capacity.processors.0);
    let memory = part(used.memory.0, capacity.memory.0);
    processors.max(memory)
}

/// A running task as placement sees it.
#[derive(Clone, Debug)]
pub struct Occupant {
    /// The task.
    pub task: TaskId,
    /// What it holds.
    pub resources: Resources,
    /// When it is expected to end.
    pub ends_at: Timestamp,
    /// How long it has run; lost if it cannot save a checkpoint.
    pub ran: Span,
    /// True if it can save a checkpoint.
    pub checkpoints: bool,
    /// True if urgent work may displace it.
    pub displaceable: bool,
    /// True if it is being stopped.
    pub stopping: bool,
}

/// The earliest worker and time at which a task that fits nowhere now is expected to fit.
pub fn reserve(
    candidates: &[Candidate],
    occupants: &BTreeMap<WorkerId, Vec<Occupant>>,
    resources: &Resources,
    failed_on: &[WorkerId],
    now: Timestamp,
) -> Option<(WorkerId, Timestamp)> {
    let open = candidates
        .iter()
        .filter(|c| c.openings > 0 && !failed_on.contains(&c.worker));
    let times = open.filter_map(|c| {
        let there = occupants.get(&c.worker).map_or(&[][..], Vec::as_slice);
        let at = fits_at(c, there, resources, now)?;
        Some((at, c.worker.clone()))
    });
    times.min().map(|(at, worker)| (worker, at))
}

fn fits_at(
    candidate: &Candidate,
    occupants: &[Occupant],
    resources: &Resources,
    now: Timestamp,
) -> Option<Timestamp> {
    let mut needed = candidate.used.plus(&candidate.reserved).plus(resources);
    let mut leaving: Vec<&Occupant> = occupants.iter().collect();
    leaving.sort_by_key(|o| o.ends_at);
    let mut at = now;
    for occupant in leaving {
        if needed.fits_in(&candidate.capacity) {
            return Some(at);
        }
        needed = needed.minus(&occupant.resources)?;
        at = at.max(occupant.ends_at);
    }
    needed.fits_in(&candidate.capacity).then_some(at)
}

/// Tasks to displace on one worker so that urgent work fits there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Displacement {
    /// The worker.
    pub worker: WorkerId,
    /// The tasks to stop; empty if enough is being stopped already.
    pub tasks: Vec<TaskId>,
}

/// The worker where urgent work costs the fewest tasks and the least lost work.
pub fn displace(
    candidates: &[Candidate],
    occupants: &BTreeMap<WorkerId, Vec<Occupant>>,
    resources: &Resources,
    failed_on: &[WorkerId],
) -> Option<Displacement> {
    let open = candidates
        .iter()
        .filter(|c| c.openings > 0 && !failed_on.contains(&c.worker));
    let ways = open.filter_map(|c| {
        let there = occupants.get(&c.worker)?;
        let (tasks, lost) = victims(c, there, resources)?;
        let key = (tasks.len(), lost, c.worker.clone());
        Some((key, tasks))
    });
    let best = ways.min_by(|(a, _), (b, _)| a.cmp(b))?;
    let ((_, _, worker), tasks) = best;
    Some(Displacement { worker, tasks })
}

fn victims(
    candidate: &Candidate,
    occupants: &[Occupant],
    resources: &Resources,
) -> Option<(Vec<TaskId>, Span)> {
    let mut needed = candidate.used.plus(&candidate.reserved).plus(resources);
    for occupant in occupants.iter().filter(|o| o.stopping) {
        needed = needed.minus(&occupant.resources)?;
    }
    let mut order: Vec<&Occupant> = occupants
        .iter()
        .filter(|o| o.displaceable && !o.stopping)
        .collect();
    order.sort_by_key(|o| {
        let size = std::cmp::Reverse(o.resources.processors);
        (!o.checkpoints, size, o.ran)
    });
    let mut tasks = Vec::new();
    let mut lost = Span::ZERO;
    for occupant in order {
        if needed.fits_in(&candidate.capacity) {
            break;
        }
        needed = needed.minus(&occupant.resources)?;
        tasks.push(occupant.task.clone());
        if !occupant.checkpoints {
            lost += occupant.ran;
        }
    }
    needed.fits_in(&candidate.capacity).then_some((tasks, lost))
}
