//! The demo: Kavach in small, in one process, with real load, a shift and a drain.
//!
//! It prints what happened, and whether each promise held as the upstreams counted
//! it; its exit code says the same.

use crate::callers::{Caller, Job, Tally, open_load};
use crate::counting::largest_shift;
use crate::deployment::{CALLER_TOKEN, OPERATOR_TOKEN, Site, Spec, caller_ip};
use crate::fleet;
use crate::http::{LabClient, LabError};
use crate::upstream::wall_ms;
use brasswinch_daemon::DaemonHandle;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long load runs.
const LOAD: Duration = Duration::from_secs(20);

/// Requests a second of each region's callers, by service.
const LOADS: [(&str, f64); 3] = [
    ("rate-desk", 120.0),
    ("order-book", 30.0),
    ("cad-intake", 6.0),
];

/// When the policy is changed.
const SHIFT_AT: Duration = Duration::from_secs(4);

/// When the drain is announced.
const DRAIN_AT: Duration = Duration::from_secs(8);

/// When one box is stopped.
const STOP_AT: Duration = Duration::from_secs(12);

/// The shift cap of the demo's policy: a fraction, and its window in seconds.
const CAP: (f64, f64) = (0.2, 5.0);

/// A slice of a second counts about 120 requests, each box rounds to whole ones, and
/// arrivals jitter over a slice's ends: what is counted has this grain.
const SHIFT_GRAIN: f64 = 0.03;

/// Time in which a drained upstream may still get new work.
const DRAIN_BOUND_MS: u64 = 2_000;

/// A checked promise.
struct Verdict {
    promise: &'static str,
    held: bool,
    figure: String,
}

struct Demo {
    site: Site,
    daemons: Vec<DaemonHandle>,
    client: LabClient,
}

/// Runs the demo; `true` means that every promise held.
pub async fn run() -> Result<bool, LabError> {
    let site = Site::start(Spec::kavach(2, 2)).await?;
    let daemons = fleet::start_all(&site, |_| {})?;
    let mut demo = Demo {
        site,
        daemons,
        client: LabClient::default(),
    };
    println!(
        "{} boxes in {} zones, {} regions",
        demo.daemons.len(),
        demo.site.spec.zones(),
        demo.site.spec.regions.len()
    );
    let policy = demo.site.spec.policy(CAP.0, CAP.1);
    let began = Instant::now();
    fleet::serve_policy(&demo.site, &demo.daemons, &policy).await?;
    println!(
        "all boxes serve after {:.1} s",
        began.elapsed().as_secs_f64()
    );
    let load = demo.start_load();
    demo.run_events().await?;
    let mut tallies = Vec::new();
    for service_load in load {
        for task in service_load.tasks {
            let _ = task.await;
        }
        tallies.push((service_load.service, service_load.tally));
    }
    print_outcomes(&tallies)?;
    let verdicts = demo.verdicts(&tallies);
    println!("\npromises, as the upstreams counted them:");
    for verdict in &verdicts {
        let word = if verdict.held { "held  " } else { "BROKEN" };
        println!("  {word}  {}: {}", verdict.promise, verdict.figure);
    }
    fleet::stop_all(demo.daemons).await;
    Ok(verdicts.iter().all(|verdict| verdict.held))
}

/// The load on one service, from all zones.
struct ServiceLoad {
    service: &'static str,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    tally: Arc<Tally>,
}

impl Demo {
    fn admin(&self, index: usize) -> SocketAddr {
        self.daemons[index].addresses().admin
    }

    async fn submit(&self, source: &str) -> Result<(), LabError> {
        let answer = self
            .client
            .post(
                self.admin(0),
                "/v1/policy",
                Some(OPERATOR_TOKEN),
                &json!({ "source": source }),
            )
            .await?;
        println!("policy: {}", String::from_utf8_lossy(&answer.body));
        Ok(())
    }

    fn start_load(&self) -> Vec<ServiceLoad> {
        let boxes: Vec<SocketAddr> = self
            .daemons
            .iter()
            .map(|daemon| daemon.addresses().caller)
            .collect();
        let mut loads = Vec::new();
        for (service, per_second) in LOADS {
            let tally = Arc::new(Tally::default());
            let mut tasks = Vec::new();
            for zone in 0..self.site.spec.zones() {
                let caller = Caller::new(caller_ip(zone), boxes.clone());
                let mut job = Job::small(
                    self.site.spec.workspace,
                    CALLER_TOKEN,
                    service,
                    self.site.spec.region_of(zone),
                );
                if service == "cad-intake" {
                    job.upload_bytes = 2 * 1024 * 1024;
                    job.upload_pause = Duration::from_millis(10);
                }
                let load = open_load(caller, job, per_second / 2.0, LOAD, Arc::clone(&tally));
                tasks.push(tokio::spawn(load));
            }
            loads.push(ServiceLoad {
                service,
                tasks,
                tally,
            });
        }
        loads
    }

    /// Shifts traffic, drains an upstream, stops a box, while load runs.
    async fn run_events(&mut self) -> Result<(), LabError> {
        let began = Instant::now();
        let until = |at: Duration| tokio::time::sleep_until((began + at).into());
        until(SHIFT_AT).await;
        println!(
            "{:4.1} s  all of guj-west's callers go to mah-north",
            began.elapsed().as_secs_f64()
        );
        let shifted = self.site.spec.policy(CAP.0, CAP.1).replace(
            "s.from(\"guj-west\", #{\"guj-west\": 8, \"mah-north\": 1, \"raj-south\": 1});",
            "s.from(\"guj-west\", #{\"mah-north\": 1});",
        );
        self.submit(&shifted).await?;
        until(DRAIN_AT).await;
        println!(
            "{:4.1} s  rate-desk-mah-north-a-1 is drained",
            began.elapsed().as_secs_f64()
        );
        let drain = json!({ "service": "rate-desk", "upstream": "rate-desk-mah-north-a-1" });
        let answer = self
            .client
            .post(self.admin(1), "/v1/drains", Some(OPERATOR_TOKEN), &drain)
            .await?;
        println!("drain: {}", String::from_utf8_lossy(&answer.body));
        until(STOP_AT).await;
        let stopped = self.daemons.remove(3);
        println!(
            "{:4.1} s  box at {} is stopped",
            began.elapsed().as_secs_f64(),
            stopped.addresses().caller
        );
        let stop_began = Instant::now();
        stopped.stop();
        let waited = tokio::task::spawn_blocking(move || stopped.wait()).await;
        if waited.is_ok() {
            println!(
                "        it left after {:.2} s",
                stop_began.elapsed().as_secs_f64()
            );
        }
        let status = fleet::status(&self.client, self.admin(0)).await?;
        for service in &status.services {
            let headroom: Vec<String> = service
                .zones
                .iter()
                .map(|(zone, load)| format!("{zone} {}/{}", load.idle, load.total))
                .collect();
            println!(
                "        idle slots of {}: {}",
                service.service,
                headroom.join(", ")
            );
        }
        Ok(())
    }

    fn verdicts(&self, tallies: &[(&'static str, Arc<Tally>)]) -> Vec<Verdict> {
        vec![
            self.load_verdict(),
            self.shift_verdict(),
            whole_verdict(tallies),
            self.not_run_verdict(tallies),
            self.once_verdict(),
            self.drain_verdict(),
            self.cut_verdict(),
        ]
    }

    fn load_verdict(&self) -> Verdict {
        let mut held = true;
        let mut figures = Vec::new();
        for ((service, region), upstreams) in &self.site.upstreams {
            let most = upstreams.counts().most_in_use;
            let load = self.site.spec.region_slots(service);
            let refused = upstreams.counts().sum(|target| target.refused);
            held &= most <= load && refused == 0;
            figures.push(format!("{service}@{region} {most}/{load}"));
        }
        Verdict {
            promise: "no region past its load",
            held,
            figure: figures.join(", "),
        }
    }

    fn shift_verdict(&self) -> Verdict {
        let shift = largest_shift(&self.site, "rate-desk", "guj-west", LOADS[0].1, CAP.1);
        let bound = CAP.0 + SHIFT_GRAIN;
        Verdict {
            promise: "shift under its cap",
            held: shift <= bound,
            figure: format!("{shift:.3} of {} in {} s", CAP.0, CAP.1),
        }
    }

    fn not_run_verdict(&self, tallies: &[(&'static str, Arc<Tally>)]) -> Verdict {
        let mut checked = 0;
        let mut contradictions = 0;
        for (service, tally) in tallies {
            for report in tally.reports() {
                let crate::callers::Outcome::Refused { ran, .. } = &report.outcome else {
                    continue;
                };
                if ran != "not_run" {
                    continue;
                }
                checked += 1;
                let ran_somewhere = self.site.spec.regions.iter().any(|region| {
                    self.site
                        .upstreams(service, region)
                        .is_some_and(|u| u.log().by_tag.contains_key(&report.tag))
                });
                contradictions += u32::from(ran_somewhere);
            }
        }
        Verdict {
            promise: "not run is the truth",
            held: contradictions == 0,
            figure: format!("{contradictions} contradictions in {checked}"),
        }
    }

    fn once_verdict(&self) -> Verdict {
        let mut twice = 0;
        let mut all = 0;
        for region in &self.site.spec.regions {
            let Some(upstreams) = self.site.upstreams("order-book", region) else {
                continue;
            };
            let log = upstreams.log();
            all += log.by_tag.len();
            twice += log.by_tag.values().filter(|runs| runs.started > 1).count();
        }
        Verdict {
            promise: "confirmations run at most once",
            held: twice == 0,
            figure: format!("{twice} twice of {all}"),
        }
    }

    fn drain_verdict(&self) -> Verdict {
        let counts = self
            .site
            .upstreams("rate-desk", "mah-north")
            .map(|upstreams| upstreams.counts())
            .unwrap_or_default();
        let last = |id: &str| {
            counts
                .targets
                .get(id)
                .map_or(0, |target| target.last_start_ms)
        };
        let drained = last("rate-desk-mah-north-a-1");
        let others = last("rate-desk-mah-north-a-2");
        let expected_gap = (LOAD - DRAIN_AT).as_millis() as u64 - DRAIN_BOUND_MS;
        let gap = others.saturating_sub(drained);
        Verdict {
            promise: "a leaving upstream gets nothing new",
            held: gap >= expected_gap,
            figure: format!(
                "last request {} ms before its neighbour's, {} ms ago",
                gap,
                wall_ms().saturating_sub(drained)
            ),
        }
    }

    fn cut_verdict(&self) -> Verdict {
        let cut: u64 = self
            .site
            .upstreams
            .values()
            .map(|upstreams| upstreams.counts().sum(|target| target.cut))
            .sum();
        Verdict {
            promise: "a planned stop cuts nothing",
            held: cut == 0,
            figure: format!("{cut} cut"),
        }
    }
}

fn whole_verdict(tallies: &[(&'static str, Arc<Tally>)]) -> Verdict {
    let reports = tallies.iter().flat_map(|(_, tally)| tally.reports());
    let (mut all, mut wrong) = (0, 0);
    for report in reports {
        all += 1;
        wrong += u32::from(report.outcome == crate::callers::Outcome::Wrong);
    }
    Verdict {
        promise: "whole answers, one's own",
        held: wrong == 0,
        figure: format!("{wrong} wrong of {all}"),
    }
}

fn print_outcomes(tallies: &[(&'static str, Arc<Tally>)]) -> Result<(), LabError> {
    println!("\nrequests:");
    for (service, tally) in tallies {
        let latencies = tally.latencies()?;
        let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "  {service}: {:?}; p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
            tally.by_outcome(),
            ms(0.5),
            ms(0.99),
            ms(0.999)
        );
    }
    Ok(())
}
