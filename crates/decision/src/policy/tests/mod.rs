//! Tests of the decisions that need access to private state.

mod reference_model;
