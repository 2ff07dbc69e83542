//! Policies: what they come to, where they are refused, and what they can't use up.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_policy::{Inventory, PolicyError, PolicyLimits, ServiceInventory, evaluate};
use brasswinch_types::{Class, Plan, Region, Service, UpstreamId};
use std::time::{Duration, Instant};

fn inventory() -> Inventory {
    let mut service = ServiceInventory::default();
    for region in ["guj-west", "mah-north"] {
        service.region_slots.insert(Region::new(region), 16);
    }
    service.upstreams.insert(UpstreamId::new("rate-1"));
    let mut inventory = Inventory::default();
    inventory
        .services
        .insert(Service::new("rate-desk"), service);
    inventory
}

fn run(source: &str) -> Result<Plan, PolicyError> {
    evaluate(source, inventory(), PolicyLimits::default())
}

const GOOD: &str = r#"
let rates = service("rate-desk");
rates.class("repeatable");
rates.deadline(2.5);
rates.shift_cap(0.1, 10);
for region in ["guj-west", "mah-north"] {
    rates.load(region, 12);
}
rates.from("guj-west", #{"guj-west": 9, "mah-north": 1});
rates.from_anywhere(#{"mah-north": 1.0, "guj-west": 1.0});
rates.leaving("rate-1");
"#;

#[test]
fn a_program_comes_to_a_plan() {
    let plan = run(GOOD).unwrap();
    let rates = &plan.services[&Service::new("rate-desk")];
    assert_eq!(rates.class, Class::Repeatable);
    assert_eq!(rates.deadline_ms, 2_500);
    assert_eq!(rates.loads[&Region::new("guj-west")], 12);
    let home = rates.shares_for(&Region::new("guj-west")).unwrap();
    assert!((home[&Region::new("guj-west")] - 0.9).abs() < 1e-9);
    let others = rates.shares_for(&Region::new("raj-south")).unwrap();
    assert!((others[&Region::new("guj-west")] - 0.5).abs() < 1e-9);
    assert!(rates.leaving.contains(&UpstreamId::new("rate-1")));
}

#[test]
fn the_same_text_comes_to_the_same_plan_every_time() {
    let first = run(GOOD).unwrap();
    for _ in 0..20 {
        assert_eq!(run(GOOD).unwrap(), first);
    }
    assert!(
        run("let t = timestamp();").is_err(),
        "a policy has no clock"
    );
}

#[test]
fn a_wrong_policy_is_refused_with_line_column_and_reason() {
    let told: Vec<String> = [
        "let a = service(\"nope\");",
        "let a = service(\"rate-desk\");\na.load(\"mars\", 3);",
        "let a = service(\"rate-desk\");\na.load(\"guj-west\", 99);",
        "let a = service(\"rate-desk\");\na.class(\"often\");",
        "let a = service(\"rate-desk\");\na.shift_cap(1.5, 10);",
        "let a = service(\"rate-desk\");\na.from(\"guj-west\", #{\"guj-west\": -1});",
        "let a = service(\"rate-desk\");\na.leaving(\"rate-9\");",
        "let a = service(\"rate-desk\");\na.load(\"guj-west\", 3)\na.class(\"once\");",
        "let a = service(\"rate-desk\");",
        "let a = service(\"rate-desk\"); a.from_anywhere(#{\"guj-west\": 1});",
        "let a = service(\"rate-desk\"); let b = service(\"rate-desk\");",
        "",
    ]
    .iter()
    .map(|source| run(source).unwrap_err().to_string())
    .collect();
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn a_policy_that_loops_recurses_or_grows_is_stopped() {
    let deep = format!("let x = {}1{};", "(".repeat(5_000), ")".repeat(5_000));
    let long = "let a = 1;".repeat(10_000);
    for source in [
        "loop { }",
        "fn f(n) { f(n + 1) } f(0);",
        "let s = \"ab\"; loop { s += s; }",
        "let a = []; loop { a.push(1); }",
        "let m = #{}; let i = 0; loop { m[`${i}`] = i; i += 1; }",
        "eval(\"loop {}\");",
        "import \"other\" as other;",
        &deep,
        &long,
    ] {
        let began = Instant::now();
        let error = run(source).unwrap_err();
        assert!(!error.reason.is_empty());
        // Far above what the limits allow even on a slow machine: it did stop.
        assert!(began.elapsed() < Duration::from_secs(20), "{error}");
    }
}

#[test]
fn a_refused_policy_says_nothing_of_other_workspaces() {
    let error = run("service(\"shamba-ledger\");").unwrap_err();
    assert!(error.reason.contains("rate-desk"));
    assert!(error.reason.contains("this workspace has no service"));
}

#[test]
fn the_shipped_policies_come_to_plans() {
    for (source, services) in [
        (
            include_str!("../../../deploy/kavach-policy.rhai"),
            [("rate-desk", 24), ("order-book", 16), ("cad-intake", 16)],
        ),
        (
            include_str!("../../../deploy/kaunti-shamba-policy.rhai"),
            [
                ("shamba-locate", 24),
                ("shamba-ledger", 16),
                ("shamba-logsink", 16),
            ],
        ),
    ] {
        let mut inventory = Inventory::default();
        for (name, slots) in services {
            let regions = [
                "guj-west",
                "mah-north",
                "raj-south",
                "nakuru",
                "eldoret",
                "meru",
            ];
            let region_slots = regions.iter().map(|r| (Region::new(r), slots)).collect();
            let service = ServiceInventory {
                region_slots,
                ..ServiceInventory::default()
            };
            inventory.services.insert(Service::new(name), service);
        }
        let plan = evaluate(source, inventory, PolicyLimits::default()).unwrap();
        assert_eq!(plan.services.len(), 3);
    }
}
