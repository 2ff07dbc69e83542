//! Settings: the reference page, and every problem at once.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_settings::{BoxSettings, REFERENCE, SettingsError, load_deployment, load_settings};
use serde_json::Value;
use std::path::PathBuf;

fn page_table() -> String {
    let defaults = serde_json::to_value(BoxSettings::default()).unwrap();
    let mut table = String::from(
        "| field | unit | default | range | meaning |\n| --- | --- | --- | --- | --- |\n",
    );
    for field in REFERENCE {
        let pointer = format!("/{}", field.path.replace('.', "/"));
        let default = match defaults.pointer(&pointer).unwrap() {
            Value::String(text) if text.is_empty() => "empty".to_owned(),
            Value::String(text) => format!("`{text}`"),
            Value::Array(_) => "none".to_owned(),
            other => other.to_string(),
        };
        let range = field.range.map_or(String::new(), |range| {
            format!("{} to {}", range.least, range.most)
        });
        table += &format!(
            "| `{}` | {} | {default} | {range} | {} |\n",
            field.path, field.unit, field.meaning
        );
    }
    table
}

fn leaves(value: &Value, path: &str, found: &mut Vec<String>) {
    let Value::Object(fields) = value else {
        found.push(path.to_owned());
        return;
    };
    for (name, field) in fields {
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        leaves(field, &path, found);
    }
}

#[test]
fn the_reference_names_every_field_and_nothing_else() {
    let mut fields = Vec::new();
    leaves(
        &serde_json::to_value(BoxSettings::default()).unwrap(),
        "",
        &mut fields,
    );
    fields.sort();
    let mut described: Vec<String> = REFERENCE.iter().map(|f| f.path.to_owned()).collect();
    described.sort();
    assert_eq!(fields, described);
}

#[test]
fn the_defaults_lie_within_their_ranges() {
    let defaults = serde_json::to_value(BoxSettings::default()).unwrap();
    for field in REFERENCE {
        let pointer = format!("/{}", field.path.replace('.', "/"));
        let number = defaults.pointer(&pointer).and_then(Value::as_u64);
        if let (Some(range), Some(number)) = (field.range, number) {
            assert!(
                (range.least..=range.most).contains(&number),
                "{}",
                field.path
            );
        }
    }
}

#[test]
fn the_page_shows_the_reference_as_it_is() {
    let page = include_str!("../../../docs/SETTINGS.md");
    assert!(
        page.contains(&page_table()),
        "docs/SETTINGS.md lacks:\n{}",
        page_table()
    );
}

#[test]
fn the_shipped_deployments_are_right() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for (name, zones, upstreams) in [("kavach", 6, 45), ("kaunti-shamba", 6, 44)] {
        let deployment = load_deployment(&folder.join(format!("{name}.yaml"))).unwrap();
        assert_eq!(deployment.zones().len(), zones);
        let count: usize = deployment.workspaces[0]
            .services
            .iter()
            .map(|service| service.upstreams.len())
            .sum();
        assert_eq!(count, upstreams);
        load_settings(&folder.join(format!("{name}-box.yaml"))).unwrap();
    }
}

#[test]
fn blocks_in_a_file_are_read_and_wrong_lines_are_told() {
    let folder = std::env::temp_dir().join(format!("brasswinch-blocks-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let deployment = "ticket_secret: long-enough-to-be-one
client_blocks_file: blocks.txt
regions:
- name: west
  zones: [{name: west-a}]
";
    let file = folder.join("deployment.yaml");
    std::fs::write(&file, deployment).unwrap();
    let blocks = folder.join("blocks.txt");
    std::fs::write(
        &blocks,
        "# comment\n10.0.0.0/8 west-a\n\n2001:db8::/32\twest-a\n",
    )
    .unwrap();
    let mut read = Vec::new();
    let loaded = load_deployment(&file).unwrap();
    loaded
        .for_each_block(|block, zone| read.push(format!("{block} {zone}")))
        .unwrap();
    std::fs::write(
        &blocks,
        "10.0.0.0/8 west-a\n10.0.0.0/99 west-a\nx\n10.0.0.0/8 east\n",
    )
    .unwrap();
    let told = load_deployment(&file).unwrap_err().to_string();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(read, ["10.0.0.0/8 west-a", "2001:db8::/32 west-a"]);
    for line in [
        "line 2: `10.0.0.0/99`",
        "line 3: expected",
        "line 4: no zone `east`",
    ] {
        assert!(told.contains(line), "{line} is not told in:\n{told}");
    }
}

#[test]
fn every_problem_of_a_deployment_is_told_at_once() {
    let folder = std::env::temp_dir().join(format!("brasswinch-deployment-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("deployment.yaml");
    std::fs::write(
        &file,
        "ticket_secret: short
regions:
- name: west
  zones: [{name: west-a}, {name: west-a}]
client_blocks:
- {block: 10.0.0.0/8, zone: nowhere}
workspaces:
- name: kavach
  caller_token: the-same-credential
  operator_token: the-same-credential
  services:
  - {name: rates, slots: 0, connections: 0, upstreams: [{id: a, zone: east-a, address: 10.0.0.1:80}]}
  - {name: rates, slotz: 4}
",
    )
    .unwrap();
    let error = load_deployment(&file).unwrap_err();
    std::fs::remove_dir_all(&folder).unwrap();
    let SettingsError::Wrong { problems, .. } = error else {
        panic!("{error}");
    };
    let told: Vec<String> = problems.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(told.join("\n"));
}
