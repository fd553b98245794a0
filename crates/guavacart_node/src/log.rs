//! Writes the reducer's decisions as log lines.

use guavacart_jobs::Decision;
use guavacart_types::{Epoch, Span};
use tracing::{info, warn};

/// Writes one decision as a log line; `unconfirmed_for` is the time since the store last confirmed
/// the ownership lease.
pub(crate) fn decision(epoch: Epoch, unconfirmed_for: Span, decision: &Decision) {
    let epoch = epoch.0;
    match decision {
        Decision::Placed {
            task,
            run,
            executor,
            free,
            age,
            waited,
        } => info!(
            event = "placed", %task, run = run.0, %executor, epoch,
            free_processors = free.processors.0, free_mib = free.memory.0 >> 20, age_ms = age.0,
            unconfirmed_ms = unconfirmed_for.0, waited_ms = waited.0,
        ),
        Decision::Load(load) => info!(
            event = "owner_load",
            epoch,
            lag_ms = load.longest_lag.0,
            starts = load.starts,
            urgent_waited_ms = load.longest_urgent_wait.0,
            answer_ms = load.mean_answer_time().0,
            longest_answer_ms = load.longest_answer_time.0,
        ),
        Decision::NoRoom(shortage) => info!(
            event = "no_room", step = %shortage.step, epoch, waited_ms = shortage.waited.0,
            tasks = shortage.tasks, size = %shortage.size, free = %shortage.free,
            largest = %shortage.largest,
            executors_without_short_tasks = shortage.executors_without_short_tasks,
        ),
        Decision::RackWaitBegun { step, rack, wait } => info!(
            event = "rack_wait_begun", %step, %rack, epoch, tasks = wait.tasks,
            longest_ms = wait.longest.0, near_ms = wait.near.0, elsewhere_ms = wait.elsewhere.0,
        ),
        Decision::RackWaitEnded {
            step,
            rack,
            waited,
            why,
        } => info!(event = "rack_wait_ended", %step, %rack, epoch, waited_ms = waited.0, ?why),
        Decision::Ended {
            task,
            run,
            executor,
            outcome,
        } => info!(event = "ended", %task, run = run.0, %executor, epoch, how = ?outcome),
        Decision::Lost {
            task,
            run,
            executor,
            why,
        } => warn!(
            event = "lost", %task, run = run.0, %executor, epoch, ?why,
            unconfirmed_ms = unconfirmed_for.0,
        ),
        Decision::LeaseExpired {
            executor,
            incarnation,
            runs,
            unconfirmed_runs,
            since_report,
            since_order,
            is_clock_suspect,
        } => warn!(
            event = "lease_expired", %executor, epoch, incarnation = incarnation.map(|known| known.0),
            runs, unconfirmed_runs, since_report_ms = since_report.0,
            since_order_ms = since_order.0, is_clock_suspect,
        ),
        Decision::ClockMismatch {
            executor,
            incarnation,
            expected_ms,
            reading_ms,
        } => warn!(
            event = "clock_mismatch", %executor, epoch, incarnation = incarnation.map(|known| known.0),
            expected_ms, reading_ms,
        ),
        Decision::ExecutorRestarted {
            executor,
            incarnation,
            runs,
            acknowledged,
        } => info!(
            event = "executor_restarted", %executor, epoch, incarnation = incarnation.0, runs,
            acknowledged,
        ),
        Decision::Adopted {
            task,
            run,
            executor,
        } => info!(event = "adopted", %task, run = run.0, %executor, epoch),
        Decision::Stopping {
            task,
            run,
            executor,
            why,
        } => info!(event = "stopping", %task, run = run.0, %executor, epoch, why),
        Decision::OrderFailed {
            executor,
            task: Some(task),
            failure,
        } => warn!(event = "order_failed", %executor, %task, epoch, ?failure),
        Decision::OrderFailed {
            executor,
            task: None,
            failure,
        } => warn!(event = "hold_failed", %executor, epoch, ?failure),
        Decision::PlacementSuspended { is_suspended, age } => {
            warn!(
                event = "placement_suspended",
                epoch,
                is_suspended,
                age_ms = age.0
            );
        }
        Decision::EvacuationBegun {
            data_centre,
            executors: 0,
            ..
        } => warn!(
            event = "evacuation_begun", %data_centre, epoch, executors = 0,
            "no executor is known there; check the name of the data centre"
        ),
        Decision::EvacuationBegun {
            data_centre,
            executors,
            runs,
        } => info!(event = "evacuation_begun", %data_centre, epoch, executors, runs),
        Decision::EvacuationEnded {
            data_centre,
            executors,
        } => info!(event = "evacuation_ended", %data_centre, epoch, executors),
        Decision::CapacityChanged {
            executor,
            before,
            after,
            reserved,
        } => info!(event = "capacity_changed", %executor, epoch, %before, %after, %reserved),
        Decision::Trusted {
            executor,
            is_trusted,
            why,
        } => info!(event = "trusted", %executor, epoch, is_trusted, why),
        Decision::Paced {
            executor,
            runs,
            percent,
            worst_percent,
        } => info!(event = "paced", %executor, epoch, runs, percent, worst_percent),
        Decision::ExecutorCrashed {
            executor,
            lost,
            blamed,
        } => warn!(event = "executor_crashed", %executor, epoch, lost, blamed),
        Decision::Suspected {
            task,
            run,
            executor,
            crashes,
            is_given_up,
        } => warn!(
            event = "suspected", %task, run = run.0, %executor, epoch, crashes, is_given_up,
        ),
        Decision::Cleared { task } => info!(event = "cleared", %task, epoch),
        Decision::JobEnded { job, outcome } => info!(event = "job_ended", %job, epoch, ?outcome),
        Decision::Advice { step, allowed } => info!(event = "advice", %step, epoch, good = allowed),
        Decision::MaintenanceBegun { machine, wave } => {
            info!(event = "upkeep", %machine, %wave, epoch);
        }
        Decision::MaintenanceAnswered {
            machine,
            executor,
            runs,
            result,
        } => {
            let executor = executor.as_ref().map(|id| id.0.as_str());
            info!(event = "upkeep_answered", %machine, executor, runs, epoch, ?result);
        }
        Decision::WaveBegun {
            wave,
            machines,
            begun,
        } => info!(event = "wave_begun", %wave, machines, begun, epoch),
    }
}
