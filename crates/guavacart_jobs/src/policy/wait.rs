//! Decides how long tasks wait for room at the rack that they prefer.
//!
//! Load: a rack that is full, drained, evacuated, cut off or gone while other racks are idle. A task
//! takes longer on another rack by a known factor. It waits only while the run near its data is
//! expected to end before one that starts elsewhere now. A wait reserves nothing, so that room at the
//! rack goes to whatever fits there first.

use guavacart_types::{Resources, Span};

/// Longest wait in which none of a step's tasks starts. A job without a running task counts as
/// neglected after 3 s; the rest is for the start itself.
pub const MAX_STALL: Span = Span::millis(2_000);
/// A run is expected to take at least one more of this many parts of the time that it has taken.
/// Estimates are wrong by a factor of up to 1.6, so that an overdue run does not end at any moment.
const MIN_REMAINING_PART: u64 = 4;
/// Number of runs that the initial ratio of actual to estimated durations counts for.
const INITIAL_RUNS: f32 = 4.0;
/// Number of runs over which the ratio is averaged; follows a queue whose estimates change.
const AVERAGED_RUNS: f32 = 32.0;
/// Largest change that a single run is evidence for, as the logarithm of a factor of two. Runs on an
/// executor that is four times slower than declared say nothing about estimates.
const MAX_DEVIATION: f32 = std::f32::consts::LN_2;
/// Tasks that are counted on one executor; limits the count of tasks that reserve nothing.
const MAX_COUNTED: usize = 1_000;

/// Ratio of the actual to the estimated durations of the runs of one queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct EstimateRatio {
    /// Mean of the logarithms.
    log_mean: f32,
    runs: f32,
}

impl EstimateRatio {
    /// Includes a run that ended `done`.
    pub fn record(&mut self, estimate: Span, taken: Span) {
        let ratio = taken.0.max(1) as f32 / estimate.0.max(1) as f32;
        let deviation = (ratio.ln() - self.log_mean).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.runs = (self.runs + 1.0).min(AVERAGED_RUNS);
        self.log_mean += deviation / (self.runs + INITIAL_RUNS);
    }

    /// Returns the duration that is expected for an estimate.
    pub fn expected(&self, estimate: Span) -> Span {
        Span((estimate.0 as f32 * self.log_mean.exp()) as u64)
    }
}

/// Returns the expected remaining time of a run.
pub fn remaining(expected: Span, elapsed: Span) -> Span {
    let least = Span(elapsed.0 / MIN_REMAINING_PART);
    expected.saturating_sub(elapsed).max(least)
}

/// An executor at the preferred rack that can be given work.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// Resources that are not reserved.
    pub free: Resources,
    /// Remaining times of its runs that will end, and what they reserve, by time.
    pub ends: Vec<(Span, Resources)>,
}

/// When tasks of one size can start at a rack.
#[derive(Clone, Debug, Default)]
pub struct Outlook {
    /// An executor of the rack can be given work.
    is_usable: bool,
    /// Tasks that fit now.
    room: usize,
    /// For each further task, the time until it fits, in order.
    later: Vec<Span>,
}

impl Outlook {
    /// Returns the outlook for tasks of this size on these executors, each of which runs at most
    /// `max_per_place` of them.
    pub fn new<'a>(
        places: impl IntoIterator<Item = &'a Place>,
        size: &Resources,
        max_per_place: Option<usize>,
    ) -> Self {
        let most = max_per_place.unwrap_or(MAX_COUNTED).min(MAX_COUNTED);
        let mut outlook = Self::default();
        for place in places {
            outlook.is_usable = true;
            let mut free = place.free;
            let mut known = fitting(&free, size, most);
            outlook.room = outlook.room.saturating_add(known);
            for (at, ended) in &place.ends {
                free = free.plus(ended);
                let fits = fitting(&free, size, most);
                let added = fits.saturating_sub(known);
                outlook.later.extend(std::iter::repeat_n(*at, added));
                known = fits;
            }
        }
        outlook.later.sort_unstable();
        outlook
    }

    /// Returns the number of tasks that fit now.
    pub fn room(&self) -> usize {
        self.room
    }

    /// Returns the time until one more task fits after `position` others that do not fit now, if each
    /// takes `duration` and leaves its room to the next one.
    pub fn start_of(&self, position: usize, duration: Span) -> Option<Span> {
        let slots = self.later.len();
        if slots == 0 || position < slots {
            return self.later.get(position).copied();
        }
        let round = u64::try_from(position / slots).unwrap_or(u64::MAX);
        Some(self.later[position % slots] + Span(duration.0.saturating_mul(round)))
    }

    /// Returns the number of tasks, apart from those that fit now, that can start before `end`.
    fn starts_before(&self, end: Span, duration: Span) -> usize {
        let early = self.later.partition_point(|at| *at < end);
        let rounds = |at: &Span| (end.0 - at.0).div_ceil(duration.0.max(1));
        let starts: u64 = self.later[..early].iter().map(rounds).sum();
        usize::try_from(starts).unwrap_or(usize::MAX)
    }
}

/// Number of tasks of this size that fit, and at most `most`.
fn fitting(free: &Resources, size: &Resources, most: usize) -> usize {
    let fits = |free: u64, size: u64| free.checked_div(size).unwrap_or(u64::MAX);
    let fitting = fits(free.processors.0, size.processors.0)
        .min(fits(free.memory.0, size.memory.0))
        .min(fits(
            u64::from(free.accelerators.0),
            u64::from(size.accelerators.0),
        ));
    usize::try_from(fitting).map_or(most, |fitting| fitting.min(most))
}

/// Which tasks of a step are faster at the preferred rack.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Share {
    /// Each task that runs there.
    Each,
    /// The tasks of the step if all of them run there, one after the other if need be.
    All,
    /// The tasks of the step, which start at the same time.
    Together,
}

/// The tasks of a step that do not fit at the preferred rack now.
#[derive(Clone, Copy, Debug)]
pub struct Tasks {
    /// Their number.
    pub count: usize,
    /// Which of them are faster at the rack.
    pub share: Share,
    /// Expected duration of a task at the rack.
    pub expected: Span,
    /// Factor on this duration on another rack.
    pub factor: f32,
    /// Tasks of this size that are ahead in the wait for the same rack.
    pub ahead: usize,
    /// How long tasks of the step have waited for the rack since one of them started.
    pub stalled: Span,
    /// Time until the latest start at the rack that meets the objective, in milliseconds; negative if
    /// it has passed.
    pub slack_ms: i64,
}

/// Why tasks do not wait for the preferred rack.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoWait {
    /// No executor of the rack can be given work.
    Unusable,
    /// The rack is full for longer than a run there saves.
    NoGain,
    /// The objective is met by a start elsewhere now, and may not be after the wait.
    Objective,
    /// No task of the step has started for [`MAX_STALL`], or none would.
    Stalled,
}

/// Why a step does not wait for a rack any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitEnd {
    /// All of its tasks have started.
    Started,
    /// The tasks that have not started start wherever there is room.
    NoWait(NoWait),
    /// The job is over.
    JobOver,
}

/// A wait that is expected to pay off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wait {
    /// Number of tasks that wait; the others start elsewhere.
    pub tasks: usize,
    /// Time after which the wait ends, or is decided anew, unless a task has started.
    pub longest: Span,
    /// Expected time until the first of them has run at the rack.
    pub near: Span,
    /// Expected time until it would have run elsewhere.
    pub elsewhere: Span,
}

/// Whether tasks wait for the preferred rack.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// At least some of them do.
    Wait(Wait),
    /// All tasks start wherever there is room.
    Start(NoWait),
}

/// Decides which tasks of a step wait for room at the preferred rack.
pub fn decide(tasks: &Tasks, outlook: &Outlook) -> Choice {
    if !outlook.is_usable {
        return Choice::Start(NoWait::Unusable);
    }
    if tasks.count == 0 {
        return Choice::Start(NoWait::NoGain);
    }
    let elsewhere = Span((tasks.expected.0 as f32 * tasks.factor.max(1.0)) as u64);
    let gain = elsewhere.saturating_sub(tasks.expected);
    let (first, last) = match tasks.share {
        // Room that is free now is lost to a gang until all of its members fit.
        Share::Together => {
            let needed = tasks.ahead.saturating_add(tasks.count);
            let last = needed.checked_sub(outlook.room() + 1);
            let at = last.and_then(|last| outlook.later.get(last).copied());
            (at, at)
        }
        Share::Each | Share::All => {
            let last = tasks.ahead.saturating_add(tasks.count.saturating_sub(1));
            let start_of = |position| outlook.start_of(position, tasks.expected);
            (start_of(tasks.ahead), start_of(last))
        }
    };
    let decisive = if tasks.share == Share::Each {
        first
    } else {
        last
    };
    let (Some(first), Some(decisive)) = (first, decisive.filter(|at| *at < gain)) else {
        return Choice::Start(NoWait::NoGain);
    };
    let left = MAX_STALL.saturating_sub(tasks.stalled);
    if first >= left {
        return Choice::Start(NoWait::Stalled);
    }
    let gain_ms = i64::try_from(gain.0).unwrap_or(i64::MAX);
    let slack = |slack_ms: i64| u64::try_from(slack_ms).ok().map(Span);
    // While a start elsewhere would still be on time, a wait must leave it so: the outlook may be
    // wrong. Once only the rack is fast enough, the decision is taken again when a start there would
    // be late as well. After that, the earlier end counts.
    let slack_elsewhere = slack(tasks.slack_ms.saturating_sub(gain_ms));
    if slack_elsewhere.is_some_and(|slack| decisive > slack) {
        return Choice::Start(NoWait::Objective);
    }
    let slack_near = slack(tasks.slack_ms).filter(|slack| decisive <= *slack);
    let allowed = slack_elsewhere.or(slack_near).unwrap_or(gain);
    let count = if tasks.share == Share::Each {
        let end = slack_elsewhere.map_or(gain, |slack| gain.min(slack + Span(1)));
        let starts = outlook.starts_before(end, tasks.expected);
        starts.saturating_sub(tasks.ahead).clamp(1, tasks.count)
    } else {
        tasks.count
    };
    Choice::Wait(Wait {
        tasks: count,
        longest: left.min(allowed).min(gain),
        near: first + tasks.expected,
        elsewhere,
    })
}
