//! Explains where the tasks of a job would start, without starting them.
//!
//! The answer comes from the functions with which placement chooses, so that the two cannot differ.

use std::collections::BTreeMap;

use guavacart_types::{Resources, Span};
use smol_str::SmolStr;

use super::{
    State,
    pacing::has_enough_headroom,
    placement::{Requirements, Reservations, Score},
    rack_wait::WaitingTasks,
    racks::{Places, TaskNeeds, demand_before, rate_for_all},
};
use crate::{
    Exclusion, Explanation, Job, JobKey, Obstacle, QueuePolicy, RackWait, RankedExecutor, Step,
    StepExplanation, StepKey,
    policy::wait::{Choice, Outlook},
};

/// Most executors that are named for one step.
const MAX_EXECUTORS: usize = 5;
/// Most steps that are explained. Each is compared with all executors, and the owner's thread does
/// nothing else meanwhile.
const MAX_STEPS: usize = 8;

/// Where tasks of a step start.
struct Starts {
    /// Executors with room for a task, best first.
    fitting: Vec<(Score, usize)>,
    excluded: BTreeMap<Exclusion, u32>,
    /// Number of tasks.
    tasks: u16,
    is_last_choice: bool,
    wait: Option<RackWait>,
}

fn count<T: TryInto<u32>>(number: T) -> u32 {
    number.try_into().unwrap_or(u32::MAX)
}

impl State {
    /// Explains where the tasks of a job would start if it were accepted now.
    pub fn explain(&self, job: &Job) -> Explanation {
        let rules = self.rules.get(&job.queue).unwrap_or(&job.rules);
        let obstacle = self.obstacle(rules, job);
        // The key of no job, as for one that is accepted next.
        let keys = (0..=u64::MAX).rev().map(JobKey);
        let mut unused = keys.filter(|key| !self.jobs.contains_key(key));
        let key = unused.next().unwrap_or(JobKey(0));
        let (first, later): (Vec<_>, Vec<_>) = (0..).zip(&job.steps).partition(is_first);
        let expected_loads = self.expected_loads_with(first.iter().map(|(_, step)| *step));
        let explained = first.iter().take(MAX_STEPS).map(|(index, _)| {
            let key = StepKey {
                job: key,
                occurrence: 0,
                step: *index,
            };
            let mut explained = self.explain_step(rules, job, key, expected_loads.as_deref());
            if obstacle.is_some() {
                explained.tasks_to_start = 0;
            }
            explained
        });
        Explanation {
            epoch: self.epoch,
            pool: rules.pool.clone(),
            priority: rules.priority,
            obstacle,
            waiting_steps: count(self.ready.len()),
            steps: explained.collect(),
            omitted_steps: count(first.len().saturating_sub(MAX_STEPS)),
            later_steps: count(later.len()),
        }
    }

    /// Why nothing of the job starts now, whatever room the executors have.
    fn obstacle(&self, rules: &QueuePolicy, job: &Job) -> Option<Obstacle> {
        if !self.configuration.is_pool_active(&rules.pool) {
            return Some(Obstacle::InactivePool);
        }
        if !self.may_start_runs() {
            return Some(Obstacle::UnconfirmedOwnership);
        }
        if self.are_entries_outdated() {
            return Some(Obstacle::OutdatedEntries);
        }
        if self.are_evacuations_outdated() {
            return Some(Obstacle::OutdatedEvacuations);
        }
        if self.may_earlier_owner_have_accepted() && !self.unreconciled.is_empty() {
            return Some(Obstacle::Takeover);
        }
        let due = job.due_unix_ms(0).filter(|due| *due > self.unix_ms);
        due.map(Obstacle::NotDue)
    }

    fn explain_step(
        &self,
        rules: &QueuePolicy,
        job: &Job,
        key: StepKey,
        expected_loads: Option<&[i64]>,
    ) -> StepExplanation {
        let step = &job.steps[usize::from(key.step)];
        let mut requirements = self.requirements_by(rules, key, step, None, Span::ZERO);
        requirements.image = self.interference.number_of(step.image.as_ref());
        let found = match self.rack_preferred_by(rules, step) {
            Some(rack) => self.starts_near(rules, job, &requirements, rack, expected_loads),
            None => self.starts_anywhere(&requirements, expected_loads),
        };
        let ranked = (1..).zip(found.fitting.iter().take(MAX_EXECUTORS));
        StepExplanation {
            step: key.step,
            tasks: step.task_count,
            tasks_to_start: found.tasks,
            fitting_executors: count(found.fitting.len()),
            executors: ranked
                .map(|(rank, (_, x))| self.ranked_executor(rank, *x, &requirements))
                .collect(),
            is_last_choice: found.is_last_choice,
            excluded: found.excluded,
            rack_wait: found.wait,
        }
    }

    /// Where tasks start that may run on any rack.
    fn starts_anywhere(
        &self,
        requirements: &Requirements<'_>,
        expected_loads: Option<&[i64]>,
    ) -> Starts {
        let step = requirements.step;
        let (mut fitting, mut excluded) = self.compare(requirements, expected_loads);
        let mut tasks = self.tasks_with_room(&fitting, requirements);
        let mut is_last_choice = false;
        if step.is_long_running && !step.is_gang && tasks < step.task_count {
            let requirements = Requirements {
                allows_penalized: true,
                ..requirements.clone()
            };
            let with_penalized = self.compare(&requirements, expected_loads);
            tasks = self.tasks_with_room(&with_penalized.0, &requirements);
            is_last_choice = fitting.is_empty() && !with_penalized.0.is_empty();
            if is_last_choice {
                (fitting, excluded) = with_penalized;
            }
        }
        Starts {
            fitting,
            excluded,
            tasks,
            is_last_choice,
            wait: None,
        }
    }

    /// Where tasks start that prefer a rack: there first, and elsewhere those that do not wait for it.
    fn starts_near(
        &self,
        rules: &QueuePolicy,
        job: &Job,
        requirements: &Requirements<'_>,
        rack: SmolStr,
        expected_loads: Option<&[i64]>,
    ) -> Starts {
        let step = requirements.step;
        let near_requirements = Requirements {
            rack: Some(rack.clone()),
            ..requirements.clone()
        };
        let (near, excluded) = self.compare(&near_requirements, expected_loads);
        let mut only_near = Starts {
            tasks: self.tasks_with_room(&near, requirements),
            fitting: near,
            excluded,
            is_last_choice: false,
            wait: None,
        };
        if only_near.tasks == step.task_count {
            return only_near;
        }
        let mut anywhere = self.starts_anywhere(requirements, expected_loads);
        let mut room_elsewhere = anywhere.tasks;
        // A gang that does not fit at the rack starts as if it preferred none.
        if !step.is_gang {
            let near = &only_near.fitting;
            let is_near = |(_, x): &(Score, usize)| near.iter().any(|(_, other)| other == x);
            let (mut fitting, others): (Vec<_>, Vec<_>) =
                anywhere.fitting.into_iter().partition(is_near);
            room_elsewhere = self.tasks_with_room(&others, requirements);
            fitting.extend(others);
            anywhere.fitting = fitting;
        }
        // Without room elsewhere there is nothing to decide.
        if (step.is_long_running && !step.is_gang) || room_elsewhere == 0 {
            return anywhere;
        }
        let choice = self.choice_of_new(rules, job, requirements, &rack, &only_near);
        let left = step.task_count - only_near.tasks;
        let Choice::Wait(wait) = choice else {
            anywhere.tasks = only_near.tasks + room_elsewhere.min(left);
            return anywhere;
        };
        let waiting = u16::try_from(wait.tasks).map_or(left, |tasks| tasks.min(left));
        let others = left - waiting;
        let rack_wait = RackWait {
            rack,
            tasks: waiting,
            until_unix_ms: self.unix_ms + wait.longest.0,
        };
        if others == 0 {
            only_near.wait = Some(rack_wait);
            return only_near;
        }
        anywhere.tasks = only_near.tasks + room_elsewhere.min(others);
        anywhere.wait = (room_elsewhere >= others).then_some(rack_wait);
        anywhere
    }

    /// The rack that tasks of a step of a new job prefer, if any.
    fn rack_preferred_by(&self, rules: &QueuePolicy, step: &Step) -> Option<SmolStr> {
        if step.data_rack.is_some() {
            return step.data_rack.clone();
        }
        if !step.prefers_one_rack || step.task_count <= 1 {
            return None;
        }
        let needs = TaskNeeds::new(&rules.pool, step);
        let rated = self.members_by_rack().into_iter().map(|(rack, members)| {
            let outlook = self.outlook_of_new(rules, &needs, &self.places_among(&members));
            rate_for_all(&outlook, usize::from(step.task_count), step, rack)
        });
        rated.max().map(|(_, _, rack)| rack)
    }

    /// The outlook for tasks of a job without tickets.
    fn outlook_of_new(&self, rules: &QueuePolicy, needs: &TaskNeeds, places: &Places) -> Outlook {
        match rules.advice {
            Some(_) => Outlook::default(),
            None => self.outlook_on(places, needs),
        }
    }

    /// Decides which tasks of a step of a new job wait for a rack, after those that fit there have
    /// started.
    fn choice_of_new(
        &self,
        rules: &QueuePolicy,
        job: &Job,
        requirements: &Requirements<'_>,
        rack: &SmolStr,
        near: &Starts,
    ) -> Choice {
        let step = requirements.step;
        let expected = self.expected_time_in(&job.queue, step);
        let members = self.members_by_rack();
        let mut places = self.places_among(members.get(rack).map_or(&[], Vec::as_slice));
        // Placement has chosen the rack of a step that prefers one rack before it starts any task,
        // and keeps this outlook for the pass.
        if step.data_rack.is_some() && !step.is_gang {
            for (x, place) in &mut places {
                if !near.fitting.iter().any(|(_, other)| other == x) {
                    continue;
                }
                for _ in 0..self.tasks_with_room_on(*x, requirements, step.task_count) {
                    place.free = place.free.minus(&requirements.size).unwrap_or_default();
                    place.ends.push((expected, requirements.size));
                }
                place.ends.sort_unstable_by_key(|(left, _)| *left);
            }
        }
        let needs = TaskNeeds::new(&rules.pool, step);
        let outlook = self.outlook_of_new(rules, &needs, &places);
        let rank = self.rank_by(rules, job, &job.critical_paths_from(), requirements.key);
        let waiting = WaitingTasks {
            count: usize::from(step.task_count - near.tasks),
            expected,
            demand_ahead: demand_before(&self.queues_by_rack(), rack, &rank),
            stalled: Span::ZERO,
            latest_start: rank.latest_start,
        };
        self.decide_wait(step, &waiting, &outlook)
    }

    /// Compares all executors with the requirements: those that fit, with their scores, best first, and
    /// the number of the others by reason. Executors without an entry are no part of the deployment.
    fn compare(
        &self,
        requirements: &Requirements<'_>,
        expected_loads: Option<&[i64]>,
    ) -> (Vec<(Score, usize)>, BTreeMap<Exclusion, u32>) {
        let apart_from_room = Requirements {
            size: Resources::default(),
            ..requirements.clone()
        };
        let nothing_reserved = Reservations::new();
        let (mut fitting, mut excluded) = (Vec::new(), BTreeMap::new());
        for (x, executor) in self.executors.iter().enumerate() {
            let reason = match self.exclusion(x, requirements, &nothing_reserved) {
                // What excludes the executor even if it were empty says more.
                Some(Exclusion::Full) => self
                    .exclusion(x, &apart_from_room, &nothing_reserved)
                    .filter(|reason| *reason != Exclusion::NoTicket)
                    .or(Some(Exclusion::Full)),
                reason => reason,
            };
            match reason {
                Some(Exclusion::NoEntry) => {}
                Some(reason) => *excluded.entry(reason).or_default() += 1,
                None => {
                    let load = expected_loads.and_then(|loads| loads.get(x)).copied();
                    let load = load.unwrap_or(executor.expected_load);
                    let (step, image) = (requirements.step, requirements.image);
                    fitting.push((self.score_with_load(x, step, image, load), x));
                }
            }
        }
        fitting.sort_unstable_by(|one: &(Score, usize), other| other.cmp(one));
        (fitting, excluded)
    }

    /// Number of the step's tasks for which the executors have room; of a gang, all or none.
    fn tasks_with_room(&self, fitting: &[(Score, usize)], requirements: &Requirements<'_>) -> u16 {
        let step = requirements.step;
        let mut left = step.task_count;
        for (_, x) in fitting {
            left -= self.tasks_with_room_on(*x, requirements, left);
        }
        match step.is_gang && left > 0 {
            true => 0,
            false => step.task_count - left,
        }
    }

    /// Number of the step's tasks, at most `most`, for which an executor has room.
    fn tasks_with_room_on(&self, x: usize, requirements: &Requirements<'_>, most: u16) -> u16 {
        let executor = &self.executors[x];
        let demand = requirements.step.resources.processors.0;
        let mut reservations = Reservations::from([(x, (Resources::default(), 0))]);
        let has_headroom_beside = |tasks: u16| {
            let headroom = executor.expected_headroom_beside(
                &self.interference,
                requirements.image,
                demand,
                u64::from(tasks),
            );
            !requirements.step.is_best_effort || has_enough_headroom(headroom)
        };
        let mut tasks = 0;
        while tasks < most
            && self.exclusion(x, requirements, &reservations).is_none()
            && has_headroom_beside(tasks)
        {
            tasks += 1;
            let reserved = reservations.entry(x).or_default();
            reserved.0 = reserved.0.plus(&requirements.size);
            reserved.1 += 1;
        }
        tasks
    }

    fn ranked_executor(
        &self,
        rank: u16,
        x: usize,
        requirements: &Requirements<'_>,
    ) -> RankedExecutor {
        let executor = &self.executors[x];
        let registration = executor.registration.as_ref();
        let step = requirements.step;
        let demand = step.resources.processors.0 * u64::from(step.is_best_effort);
        let headroom = executor.expected_headroom(&self.interference, requirements.image, demand);
        RankedExecutor {
            rank,
            id: executor.id.clone(),
            rack: registration.and_then(|r| r.rack()).cloned(),
            data_centre: registration.and_then(|r| r.data_centre.clone()),
            free: executor.free(),
            headroom: headroom.is_finite().then_some(headroom),
        }
    }
}

/// True if the step waits for no other.
fn is_first((_, step): &(u16, &Step)) -> bool {
    step.dependencies.is_empty()
}
