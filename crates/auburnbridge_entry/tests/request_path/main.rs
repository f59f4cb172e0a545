//! Request path of an entry with fakes of the ledger, the targets and the other entries.

mod crashes_and_retries;
mod fakes;
mod fault;
mod fault_matrix;
mod headers;
mod interleavings;
mod scenario;
