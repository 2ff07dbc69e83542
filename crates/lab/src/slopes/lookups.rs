//! Look-ups: the table of client blocks, the decision, and the way through a socket.

use super::AllocatedBytes;
use super::fit::Series;
use super::scale::{DESIGNED, Scale, client_block, service_name};
use crate::callers::{Caller, Job};
use crate::deployment::{CALLER_TOKEN, Site, Spec, caller_ip};
use crate::http::LabError;
use brasswinch_daemon::{LookupMeasure, start};
use brasswinch_decide::blocks::BlockTable;
use brasswinch_types::Zone;
use hdrhistogram::Histogram;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Sizes of the table of client blocks.
const BLOCKS: [usize; 4] = [33_750, 67_500, 135_000, 270_000];

/// Look-ups in the table, for timing.
const TABLE_LOOKUPS: usize = 2_000_000;

/// Look-ups decided, for timing.
const DECISIONS: usize = 200_000;

/// Mean look-ups a second of a daemon at the size designed for.
const SOCKET_RATES: [usize; 4] = [205, 410, 820, 1_640];

/// How long each rate is kept up.
const SOCKET_TIME: Duration = Duration::from_secs(5);

/// An address of each client block in turn, spread out.
fn callers(blocks: usize) -> Vec<IpAddr> {
    (0..10_000)
        .map(|turn| {
            let block = client_block((turn * 7_919) % blocks);
            IpAddr::V4(Ipv4Addr::from(u32::from(block.addr()) + 7))
        })
        .collect()
}

/// Memory of the table and time of a look-up in it, by blocks.
pub(super) fn blocks(allocated: AllocatedBytes) -> Vec<Series> {
    let mut memory = Series::new("block table, bytes", "client blocks");
    let mut time = Series::new("block table look-up, ns", "client blocks");
    for count in BLOCKS {
        let before = allocated();
        let mut table = BlockTable::default();
        for index in 0..count {
            let zone = Zone::new(DESIGNED.zone_name(index % DESIGNED.zones()));
            table.insert(client_block(index).into(), &zone);
        }
        memory.add(count, allocated().saturating_sub(before) as f64);
        let callers = callers(count);
        let began = Instant::now();
        for caller in callers.iter().cycle().take(TABLE_LOOKUPS) {
            black_box(table.zone_of(*caller));
        }
        let nanos = began.elapsed().as_nanos() as f64;
        time.add(count, nanos / TABLE_LOOKUPS as f64);
    }
    vec![memory, time]
}

/// Look-ups decided a second on one core, by blocks.
pub(super) fn decisions() -> Result<Vec<Series>, LabError> {
    let mut rate = Series::new("look-ups decided a second, one core", "client blocks");
    for count in BLOCKS {
        let scale = Scale {
            blocks: count,
            ..DESIGNED
        };
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let measure = LookupMeasure::new(scale.settings(nowhere), "measured", &scale.policy(0), 40)
            .map_err(|error| LabError::Answer(error.to_string()))?;
        let callers = callers(count);
        let (took, answered) = measure.run(CALLER_TOKEN, &service_name(0), &callers, DECISIONS);
        if answered != DECISIONS {
            return Err(LabError::Answer(format!(
                "only {answered} look-ups were answered"
            )));
        }
        rate.add(count, DECISIONS as f64 / took.as_secs_f64());
    }
    Ok(vec![rate])
}

/// 99th percentile of look-ups through a socket, by rate.
pub(super) async fn through_the_socket() -> Result<Series, LabError> {
    let mut series = Series::new("look-up through the socket, p99 in ms", "look-ups a second");
    let mut spec = Spec::kavach(1, 1);
    spec.regions = vec!["guj-west"];
    spec.zones_per_region = 1;
    let policy = spec.policy(0.2, 5.0);
    let site = Site::start(spec).await?;
    let daemon = start(site.settings(0, 1))?;
    site.box_listens(&site.box_name(0, 1), daemon.addresses().peer);
    let client = crate::http::LabClient::default();
    let body = serde_json::json!({ "source": policy });
    let admin = daemon.addresses().admin;
    let token = Some(crate::deployment::OPERATOR_TOKEN);
    client.post(admin, "/v1/policy", token, &body).await?;
    let address = daemon.addresses().caller;
    let caller = Caller::new(caller_ip(0), vec![address]);
    let job = Job::small("kavach", CALLER_TOKEN, "rate-desk", "guj-west");
    while caller.lookup_at(address, &job).await.is_err() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for rate in SOCKET_RATES {
        series.add(rate, p99_ms(&caller, address, &job, rate).await?);
    }
    daemon.stop();
    let _ = tokio::task::spawn_blocking(move || daemon.wait()).await;
    Ok(series)
}

async fn p99_ms(
    caller: &Caller,
    address: SocketAddr,
    job: &Job,
    rate: usize,
) -> Result<f64, LabError> {
    let began = Instant::now();
    let mut tasks = Vec::new();
    let count = (rate as f64 * SOCKET_TIME.as_secs_f64()) as u32;
    for sent in 0..count {
        let due = began + Duration::from_secs_f64(f64::from(sent) / rate as f64);
        tokio::time::sleep_until(due.into()).await;
        let (caller, job) = (caller.clone(), job.clone());
        tasks.push(tokio::spawn(async move {
            let sent = Instant::now();
            let answered = caller.lookup_at(address, &job).await.is_ok();
            answered.then(|| sent.elapsed())
        }));
    }
    let mut histogram: Histogram<u64> = Histogram::new_with_bounds(1, 60_000_000, 3)
        .map_err(|error| LabError::Answer(error.to_string()))?;
    for task in tasks {
        if let Ok(Some(took)) = task.await {
            histogram.saturating_record(took.as_micros() as u64);
        }
    }
    Ok(histogram.value_at_quantile(0.99) as f64 / 1_000.0)
}
