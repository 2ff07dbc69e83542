//! Settings of a daemon and of a deployment, in YAML.
//!
//! Defaults stand in code, on each struct. A file is checked whole: every
//! problem is reported at once, each with its path in the file.

mod block_file;
mod box_settings;
mod check;
mod deployment;
mod limits;
mod load;
mod loans;
mod peers;
mod platform;
mod problem;
mod reference;
mod shape;

pub use box_settings::BoxSettings;
pub use deployment::{
    BlockSettings, Deployment, RegionSettings, ServiceSettings, UpstreamSettings,
    WorkspaceSettings, ZoneSettings,
};
pub use limits::LimitSettings;
pub use load::{Settings, load_deployment, load_settings};
pub use loans::LoanSettings;
pub use peers::PeerSettings;
pub use platform::PlatformSettings;
pub use problem::{Problem, SettingsError};
pub use reference::{FieldReference, REFERENCE};
