//! Chooses the least loaded worker with enough room for a task, with reservations and backfill.

use std::collections::BTreeMap;

use guavacart_types::{DataCentre, Rack, Resources, Span, TaskId, Timestamp, WorkerId};

/// The state of one worker that matters for placement.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Rack of the worker.
    pub rack: Rack,
    /// Data centre of the worker.
    pub data_centre: DataCentre,
    /// Number of tasks of the same job in the worker's rack or data centre, if the job is to be
    /// spread.
    pub nearby_tasks: u32,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources that the tasks on the worker hold or are expected to use.
    pub used: Resources,
    /// Number of further tasks that the worker may take now; 0 if it is leaving or on probation.
    pub task_slots: u32,
    /// Additional cost of the task's class on this worker, from measured interference.
    pub cost: u64,
    /// Resources that are kept for tasks with a reservation.
    pub reserved: Resources,
    /// When the tasks with a reservation are expected to start.
    pub reserved_at: Timestamp,
}

/// A task to be placed.
#[derive(Clone, Debug)]
pub struct TaskDemand<'a> {
    /// Resources of the task.
    pub resources: Resources,
    /// When the task would end if it started now.
    pub ends_at: Timestamp,
    /// Workers on which the task failed.
    pub failed_on: &'a [WorkerId],
    /// Worker that is reserved for the task.
    pub reserved: Option<&'a WorkerId>,
}

/// Chooses the best worker that has room for the task without breaking a reservation.
pub fn choose(candidates: &[Candidate], demand: &TaskDemand<'_>) -> Option<usize> {
    let fitting = (0..candidates.len()).filter(|i| fits(&candidates[*i], demand));
    fitting.min_by_key(|i| score(&candidates[*i], demand))
}

/// Chooses the first worker that has room for the task without breaking a reservation; the
/// configuration can select this rule for comparison.
pub fn choose_first_fit(candidates: &[Candidate], demand: &TaskDemand<'_>) -> Option<usize> {
    candidates.iter().position(|c| fits(c, demand))
}

fn fits(candidate: &Candidate, demand: &TaskDemand<'_>) -> bool {
    if candidate.task_slots == 0 || demand.failed_on.contains(&candidate.worker) {
        return false;
    }
    let taken = candidate.used.plus(&demand.resources);
    if !taken.fits_in(&candidate.capacity) {
        return false;
    }
    let has_reservation = demand.reserved == Some(&candidate.worker);
    let with_reserved = taken.plus(&candidate.reserved);
    has_reservation
        || with_reserved.fits_in(&candidate.capacity)
        || demand.ends_at <= candidate.reserved_at
}

/// Sort key among workers with enough room: own reservation, spread, measured cost, accelerators
/// that the task does not need, load.
fn score(candidate: &Candidate, demand: &TaskDemand<'_>) -> (bool, u32, u64, u32, u64) {
    let lacks_reservation = demand.reserved != Some(&candidate.worker);
    let unneeded_accelerators = match demand.resources.accelerators.0 {
        0 => candidate.capacity.accelerators.0,
        _ => 0,
    };
    let taken = candidate.used.plus(&demand.resources);
    (
        lacks_reservation,
        candidate.nearby_tasks,
        candidate.cost,
        unneeded_accelerators,
        load_ppm(&taken, &candidate.capacity),
    )
}

/// The greater of processor and memory load, in parts per million.
fn load_ppm(used: &Resources, capacity: &Resources) -> u64 {
    let part = |used: u64, capacity: u64| {
        let scaled = u128::from(used) * 1_000_000 / u128::from(capacity.max(1));
        u64::try_from(scaled).unwrap_or(u64::MAX)
    };
    let processors = part(used.processors.0, capacity.processors.0);
    let memory = part(used.memory.0, capacity.memory.0);
    processors.max(memory)
}

/// A placed task that holds resources on a worker.
#[derive(Clone, Debug)]
pub struct Occupant {
    /// Id of the task.
    pub task: TaskId,
    /// Resources that the task holds.
    pub resources: Resources,
    /// When the task is expected to end.
    pub ends_at: Timestamp,
    /// How long the task has run; this work is lost if the task cannot save a checkpoint.
    pub run_time: Span,
    /// True if the task can save a checkpoint.
    pub checkpoints: bool,
    /// True if urgent work may displace the task.
    pub displaceable: bool,
    /// True if the task is being stopped.
    pub stopping: bool,
}

/// For a task that fits on no worker now, the worker on which it is expected to fit first, and when.
pub fn reserve(
    candidates: &[Candidate],
    occupants: &BTreeMap<WorkerId, Vec<Occupant>>,
    resources: &Resources,
    failed_on: &[WorkerId],
    now: Timestamp,
) -> Option<(WorkerId, Timestamp)> {
    let eligible = candidates
        .iter()
        .filter(|c| c.task_slots > 0 && !failed_on.contains(&c.worker));
    let times = eligible.filter_map(|c| {
        let placed = occupants.get(&c.worker).map_or(&[][..], Vec::as_slice);
        let at = fits_at(c, placed, resources, now)?;
        Some((at, c.worker.clone()))
    });
    times.min().map(|(at, worker)| (worker, at))
}

/// When the task is expected to fit on the candidate, as tasks there end; `None` if it never fits.
fn fits_at(
    candidate: &Candidate,
    occupants: &[Occupant],
    resources: &Resources,
    now: Timestamp,
) -> Option<Timestamp> {
    let mut needed = candidate.used.plus(&candidate.reserved).plus(resources);
    let mut by_end: Vec<&Occupant> = occupants.iter().collect();
    by_end.sort_by_key(|o| o.ends_at);
    let mut at = now;
    for occupant in by_end {
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
    /// Worker of the tasks.
    pub worker: WorkerId,
    /// Tasks to stop; empty if the tasks already being stopped free enough.
    pub tasks: Vec<TaskId>,
}

/// Chooses the worker where urgent work displaces the fewest tasks and loses the least work.
pub fn displace(
    candidates: &[Candidate],
    occupants: &BTreeMap<WorkerId, Vec<Occupant>>,
    resources: &Resources,
    failed_on: &[WorkerId],
) -> Option<Displacement> {
    let eligible = candidates
        .iter()
        .filter(|c| c.task_slots > 0 && !failed_on.contains(&c.worker));
    let options = eligible.filter_map(|c| {
        let placed = occupants.get(&c.worker)?;
        let (tasks, lost) = tasks_to_displace(c, placed, resources)?;
        let key = (tasks.len(), lost, c.worker.clone());
        Some((key, tasks))
    });
    let best = options.min_by(|(a, _), (b, _)| a.cmp(b))?;
    let ((_, _, worker), tasks) = best;
    Some(Displacement { worker, tasks })
}

/// The tasks to stop on the candidate so that urgent work fits, and the run time that is lost
/// because some of them cannot save a checkpoint.
fn tasks_to_displace(
    candidate: &Candidate,
    occupants: &[Occupant],
    resources: &Resources,
) -> Option<(Vec<TaskId>, Span)> {
    let mut needed = candidate.used.plus(&candidate.reserved).plus(resources);
    for occupant in occupants.iter().filter(|o| o.stopping) {
        needed = needed.minus(&occupant.resources)?;
    }
    let mut displaceable: Vec<&Occupant> = occupants
        .iter()
        .filter(|o| o.displaceable && !o.stopping)
        .collect();
    displaceable.sort_by_key(|o| {
        let size = std::cmp::Reverse(o.resources.processors);
        (!o.checkpoints, size, o.run_time)
    });
    let mut tasks = Vec::new();
    let mut lost = Span::ZERO;
    for occupant in displaceable {
        if needed.fits_in(&candidate.capacity) {
            break;
        }
        needed = needed.minus(&occupant.resources)?;
        tasks.push(occupant.task.clone());
        if !occupant.checkpoints {
            lost += occupant.run_time;
        }
    }
    needed.fits_in(&candidate.capacity).then_some((tasks, lost))
}
