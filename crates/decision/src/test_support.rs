//! What tests within the package share with those beside it.

use crate::interface::*;

#[path = "../tests/common/settings.rs"]
pub(crate) mod settings;
