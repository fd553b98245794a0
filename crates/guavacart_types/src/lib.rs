//! Newtypes for ids, sizes, times, resources and request outcomes that the other crates share.

mod hash;
mod id;
mod outcome;
mod resources;
mod size;
mod time;

pub use hash::{deterministic_random, rendezvous_weight};
pub use id::{
    Attempt, BatchClass, CallId, CellId, ConfigNumber, DataCentre, DispatchId, EndpointId, Epoch,
    IdError, Incarnation, InstanceId, JobId, PatchId, Rack, RequestId, Revision, ServiceName,
    TaskId, TeamName, ViewNumber, WorkerId,
};
pub use outcome::{Class, ClassError, Outcome, Reason};
pub use resources::Resources;
pub use size::{Accelerators, ByteSize, Processors, SizeError};
pub use time::{Span, SpanError, Timestamp};
