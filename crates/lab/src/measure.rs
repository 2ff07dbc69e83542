//! Measures latency, headroom and drain time, beside a static equal split of the load.

use crate::callers::{Caller, Job, Tally, open_load};
use crate::deployment::{CALLER_TOKEN, Site, Spec, caller_ip};
use crate::fleet;
use crate::http::LabError;
use crate::upstream::UpstreamControl;
use brasswinch_daemon::DaemonHandle;
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long each load runs.
const LOAD: Duration = Duration::from_secs(6);

/// Time that an upstream takes for one request, in milliseconds.
const SERVICE_MS: u64 = 20;

/// Offered loads, as parts of what the region's load can carry.
const OFFERED: [f64; 3] = [0.7, 0.9, 1.0];

/// A light load before the measured one, so that upstreams are no longer cold.
const WARM_UP: Duration = Duration::from_secs(6);

/// The light load, as a part of what the region's load can carry.
const WARM_UP_OFFERED: f64 = 0.3;

/// Part of the callers that all use one box, as a cached answer or a lost look-up makes them.
const SKEW: f64 = 0.5;

/// What one load came to.
#[derive(Clone, Debug, serde::Serialize)]
struct Row {
    deployment: &'static str,
    split: &'static str,
    situation: &'static str,
    offered: f64,
    whole_part: f64,
    outcomes: BTreeMap<String, usize>,
    most_in_use: u32,
    load: u32,
    p50_ms: f64,
    p99_ms: f64,
    drain_ms: Option<u128>,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:14} {:13} {:11} offered {:.1}: whole {:.4}, most {}/{}, p50 {:.1} ms, p99 {:.1} ms",
            self.deployment,
            self.split,
            self.situation,
            self.offered,
            self.whole_part,
            self.most_in_use,
            self.load,
            self.p50_ms,
            self.p99_ms
        )?;
        if let Some(ms) = self.drain_ms {
            write!(f, ", drain {ms} ms")?;
        }
        write!(f, " {:?}", self.outcomes)
    }
}

/// Runs every situation for the deployments whose name starts with `only`, and prints a
/// row each.
pub async fn run(only: &str, as_json: bool) -> Result<(), LabError> {
    for (name, spec) in [
        ("kavach", Spec::kavach(2, 2)),
        ("kaunti-shamba", Spec::kaunti_shamba(2, 2)),
    ] {
        if !name.starts_with(only) {
            continue;
        }
        for borrow in [true, false] {
            for situation in Situation::ALL {
                for offered in OFFERED {
                    let row = one(name, spec.clone(), borrow, situation, offered).await?;
                    if as_json {
                        println!("{}", json!(row));
                    } else {
                        println!("{row}");
                    }
                }
            }
        }
    }
    Ok(())
}

/// What happens while the load runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Situation {
    Quiet,
    Skewed,
    PlannedStop,
}

impl Situation {
    const ALL: [Situation; 3] = [Self::Quiet, Self::Skewed, Self::PlannedStop];

    fn name(self) -> &'static str {
        match self {
            Self::Quiet => "quiet",
            Self::Skewed => "skewed",
            Self::PlannedStop => "stop",
        }
    }
}

async fn one(
    deployment: &'static str,
    mut spec: Spec,
    borrow: bool,
    situation: Situation,
    offered: f64,
) -> Result<Row, LabError> {
    spec.regions.truncate(1);
    spec.services.truncate(1);
    spec.services[0].control = UpstreamControl {
        service_ms: SERVICE_MS,
        ..UpstreamControl::default()
    };
    let service = spec.services[0].name;
    let load = spec.region_slots(service);
    let policy = spec.policy(0.5, 5.0);
    let workspace = spec.workspace;
    let region = spec.regions[0];
    let site = Site::start(spec).await?;
    let mut daemons = fleet::start_all(&site, |settings| {
        settings.this_box.loans.borrow = borrow;
    })?;
    fleet::serve_policy(&site, &daemons, &policy).await?;
    let per_second = offered * f64::from(load) * 1_000.0 / SERVICE_MS as f64;
    let tally = Arc::new(Tally::default());
    let job = Job::small(workspace, CALLER_TOKEN, service, region);
    let light = WARM_UP_OFFERED * per_second / offered;
    let warm_up = start_loads(
        &daemons,
        &job,
        (light, WARM_UP),
        Situation::Quiet,
        &Arc::default(),
    );
    for task in warm_up {
        let _ = task.await;
    }
    let loads = start_loads(&daemons, &job, (per_second, LOAD), situation, &tally);
    let mut drain_ms = None;
    if situation == Situation::PlannedStop {
        tokio::time::sleep(LOAD / 2).await;
        let leaver = daemons.remove(1);
        let began = Instant::now();
        leaver.stop();
        let _ = tokio::task::spawn_blocking(move || leaver.wait()).await;
        drain_ms = Some(began.elapsed().as_millis());
    }
    for task in loads {
        let _ = task.await;
    }
    let counts = tally.by_outcome();
    let all: usize = counts.values().sum();
    let whole = counts.get("whole").copied().unwrap_or(0);
    let latencies = tally.latencies()?;
    let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    let most_in_use = site
        .upstreams(service, region)
        .map_or(0, |upstreams| upstreams.counts().most_in_use);
    fleet::stop_all(daemons).await;
    Ok(Row {
        deployment,
        split: if borrow {
            "owned+loans"
        } else {
            "static equal"
        },
        situation: situation.name(),
        offered,
        whole_part: whole as f64 / all.max(1) as f64,
        outcomes: counts,
        most_in_use,
        load,
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
        drain_ms,
    })
}

fn start_loads(
    daemons: &[DaemonHandle],
    job: &Job,
    (per_second, duration): (f64, Duration),
    situation: Situation,
    tally: &Arc<Tally>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let boxes: Vec<_> = daemons.iter().map(|d| d.addresses().caller).collect();
    let load = |zone: usize, rate: f64, boxes: Vec<_>, direct: bool| {
        let mut job = job.clone();
        job.direct = direct;
        let caller = Caller::new(caller_ip(zone), boxes);
        tokio::spawn(open_load(caller, job, rate, duration, Arc::clone(tally)))
    };
    if situation != Situation::Skewed {
        return vec![
            load(0, per_second / 2.0, boxes.clone(), false),
            load(1, per_second / 2.0, boxes, false),
        ];
    }
    // One zone's share goes to its first box, the rest is spread.
    vec![
        load(0, per_second * SKEW, vec![boxes[0]], true),
        load(1, per_second * (1.0 - SKEW), boxes[2..].to_vec(), false),
    ]
}
