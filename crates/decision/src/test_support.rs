//! Test settings that unit tests share with the integration tests.

use crate::interface::*;

#[path = "../tests/common/settings.rs"]
pub(crate) mod settings;
