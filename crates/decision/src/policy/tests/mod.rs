//! Tests of the decisions that need a look inside.

mod reference_model;
