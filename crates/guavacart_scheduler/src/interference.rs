//! How much each class of batch work slows each service, learned from late reports.
