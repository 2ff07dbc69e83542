//! Reads settings files and reports every problem at once.

use crate::deployment::{
    BlockSettings, RegionSettings, ServiceSettings, UpstreamSettings, WorkspaceSettings,
    ZoneSettings,
};
use crate::{BoxSettings, Deployment, Problem, SettingsError, check, shape};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Environment variable that goes before the file's ticket secret.
const TICKET_SECRET_VARIABLE: &str = "BRASSWINCH_TICKET_SECRET";

/// A box's settings together with its deployment's.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This box.
    pub this_box: BoxSettings,
    /// What all boxes share.
    pub deployment: Deployment,
}

/// Reads and checks a box's file and the deployment's file it names.
pub fn load_settings(path: &Path) -> Result<Settings, SettingsError> {
    let mut value = read(path)?;
    let mut problems = Vec::new();
    let mut template = BoxSettings::default();
    template.peers.seeds.push(template.peer_address);
    let Some(this_box) = typed::<BoxSettings>(&mut value, &template, &mut problems) else {
        return Err(wrong(path, problems));
    };
    check::check_box(&value, &this_box, &mut problems);
    let deployment_path = beside(path, &this_box.deployment);
    let deployment = match load_deployment(&deployment_path) {
        Ok(deployment) => deployment,
        Err(error) if problems.is_empty() => return Err(error),
        Err(error) => {
            problems.push(Problem::new("deployment", error.to_string()));
            return Err(wrong(path, problems));
        }
    };
    check::check_together(&this_box, &deployment, &mut problems);
    if !problems.is_empty() {
        return Err(wrong(path, problems));
    }
    Ok(Settings {
        this_box,
        deployment,
    })
}

/// Reads and checks a deployment's file.
pub fn load_deployment(path: &Path) -> Result<Deployment, SettingsError> {
    let mut value = read(path)?;
    let mut problems = Vec::new();
    let template = deployment_template();
    let Some(mut deployment) = typed::<Deployment>(&mut value, &template, &mut problems) else {
        return Err(wrong(path, problems));
    };
    if let Ok(secret) = std::env::var(TICKET_SECRET_VARIABLE) {
        deployment.ticket_secret = secret;
    }
    check::check_deployment(&deployment, &mut problems);
    if !deployment.client_blocks_file.is_empty() {
        let file = beside(path, &deployment.client_blocks_file);
        deployment.client_blocks_file = file.display().to_string();
        if let Err(error) = deployment.for_each_block(|_, _| {}) {
            problems.push(Problem::new("client_blocks_file", error.to_string()));
        }
    }
    if !problems.is_empty() {
        return Err(wrong(path, problems));
    }
    Ok(deployment)
}

/// A path that a file names, relative to that file.
fn beside(path: &Path, named: &str) -> PathBuf {
    path.parent().unwrap_or(Path::new(".")).join(named)
}

/// The value as a `T`, or `None` where its shape is wrong.
fn typed<T: Serialize + DeserializeOwned>(
    value: &mut Value,
    template: &T,
    problems: &mut Vec<Problem>,
) -> Option<T> {
    let template = serde_json::to_value(template).unwrap_or_default();
    shape::compare(value, &template, "", problems);
    match serde_json::from_value(value.clone()) {
        Ok(typed) => Some(typed),
        Err(error) => {
            problems.push(Problem::new("(file)", error.to_string()));
            None
        }
    }
}

/// A deployment with one entry in each list, to show their shape.
fn deployment_template() -> Deployment {
    Deployment {
        regions: vec![RegionSettings {
            zones: vec![ZoneSettings::default()],
            ..RegionSettings::default()
        }],
        client_blocks: vec![BlockSettings::default()],
        workspaces: vec![WorkspaceSettings {
            services: vec![ServiceSettings {
                upstreams: vec![UpstreamSettings::default()],
                ..ServiceSettings::default()
            }],
            ..WorkspaceSettings::default()
        }],
        ..Deployment::default()
    }
}

fn read(path: &Path) -> Result<Value, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.display().to_string(),
        source,
    })?;
    serde_saphyr::from_str(&text).map_err(|error| SettingsError::NotYaml {
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}

fn wrong(path: &Path, mut problems: Vec<Problem>) -> SettingsError {
    problems.sort();
    SettingsError::Wrong {
        path: path.display().to_string(),
        problems,
    }
}
