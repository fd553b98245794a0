//! Handlers of the operators' calls.
