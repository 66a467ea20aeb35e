//! The measured system: entry processes as child processes, and stand-ins behind relays that count the
//! traffic.

use std::fmt::Write as _;
use std::time::Duration;

use godwithaven::clock::unix_ms;
use godwithaven::kernel::{BundleRecord, LogRecord, RecordGroup};
use godwithaven::plugins::bundle_signature::{self, SigningKey};
use godwithaven_standins::directory::ListedVm;
use godwithaven_standins::relay::{RelayCount, RelayStandin};
use godwithaven_standins::world::{StandinWorld, WorldShape};
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

use crate::child::EntryChild;

/// Result of a step of the measurement, with any kind of error.
pub type CapacityResult<T> = Result<T, Box<dyn std::error::Error>>;

/// API key of `team-0`, the only team that submits work.
pub const TEAM_KEY: &str = "capacity-key";
/// Longest wait until the first process answers a request.
const MAX_READY_WAIT: Duration = Duration::from_secs(20);

/// Numbers of processes, VMs and teams of a measured system.
#[derive(Clone, Copy, Debug)]
pub struct PlatformShape {
    /// Number of entry processes; all are in zone `a`.
    pub processes: usize,
    /// Number of workers, half of them in zone `a` and half in zone `b`; rounded up to an even number.
    pub workers: usize,
    /// Number of additional workers on the VM list, in region `r2`, where no entry process runs.
    pub other_vms: usize,
    /// Number of endpoints of the service `planner`.
    pub endpoints: usize,
    /// Shortest time between two syncs of a worker; the lease is three times as long.
    pub sync_interval: Duration,
    /// Number of teams in the bundle.
    pub teams: usize,
    /// Limit of each team in millicores; the limit of `team-0` decides whether jobs run or stay queued.
    pub team_millicores: u64,
}

impl Default for PlatformShape {
    fn default() -> Self {
        Self {
            processes: 1,
            workers: 0,
            other_vms: 0,
            endpoints: 2,
            sync_interval: Duration::from_secs(2),
            teams: 42,
            team_millicores: 100_000_000,
        }
    }
}

/// Traffic between the entry processes and the services that they use, as counted by the relays.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCount {
    /// Between the entry processes and the log.
    pub log: RelayCount,
    /// Between the entry processes and the VM list.
    pub directory: RelayCount,
    /// Between the entry processes and the workers.
    pub workers: RelayCount,
    /// Between the first entry process and the peers that connect to it; connections that it opens are not
    /// counted.
    pub peers: RelayCount,
}

/// A running system of stand-ins and entry processes.
pub struct CapacityPlatform {
    /// Stand-ins of the log, the VM list, the workers and the endpoints.
    pub world: StandinWorld,
    /// Entry processes; CPU time, memory and metrics of the first one are measured.
    pub entries: Vec<EntryChild>,
    log: RelayStandin,
    directory: RelayStandin,
    workers: RelayStandin,
    peers: Vec<RelayStandin>,
    token: CancellationToken,
}

impl CapacityPlatform {
    /// Starts the system, publishes a bundle and waits until the first process answers requests.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket or a process cannot be started, or if the first process is not ready in
    /// time.
    pub async fn start(shape: &PlatformShape) -> CapacityResult<Self> {
        let token = CancellationToken::new();
        let zones = vec!["a".to_owned(), "b".to_owned()];
        let services = vec![("planner".to_owned(), shape.endpoints)];
        let world = WorldShape { zones, workers_per_zone: shape.workers.div_ceil(2), services };
        let world = StandinWorld::start(&world, &token).await?;
        let log = RelayStandin::start(world.log.address, token.child_token()).await?;
        let directory = RelayStandin::start(world.directory.address, token.child_token()).await?;
        let workers = RelayStandin::start(world.workers.address, token.child_token()).await?;
        let mut platform =
            Self { world, entries: Vec::new(), log, directory, workers, peers: Vec::new(), token };
        platform.list_vms(shape);
        for index in 0..shape.processes {
            platform.start_entry(shape, index).await?;
        }
        platform.publish(shape).await?;
        platform.wait_ready().await?;
        Ok(platform)
    }

    /// Reads the traffic counters of all relays.
    pub async fn traffic(&self) -> TrafficCount {
        let mut peers = RelayCount::default();
        if let Some(relay) = self.peers.first() {
            peers = relay.count().await;
        }
        TrafficCount {
            log: self.log.count().await,
            directory: self.directory.count().await,
            workers: self.workers.count().await,
            peers,
        }
    }

    /// Reads a counter from the metrics of the first process. `name` is the start of the metric's line up to
    /// its value; returns 0 if no line starts with it.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics page cannot be read.
    pub async fn counter(&self, name: &str) -> CapacityResult<f64> {
        let url = format!("http://{}/metrics", self.entries[0].operator_listen);
        let mut response = awc::Client::default().get(url).send().await.map_err(|error| error.to_string())?;
        let body = response.body().await?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let value =
            text.lines().filter_map(|line| line.strip_prefix(name)).find_map(|rest| rest.trim().parse().ok());
        Ok(value.unwrap_or(0.0))
    }

    /// Kills all entry processes and stops the stand-ins.
    pub fn stop(self) {
        drop(self.entries);
        self.token.cancel();
    }

    /// Replaces the additional VM with this index on the list by a new one.
    pub fn replace_vm(&self, index: usize) {
        self.world.directory.change(|list| {
            list.retain(|vm| vm.vm != other_vm(index).vm);
            list.push(ListedVm { vm: format!("worker-new-{index}"), ..other_vm(index) });
        });
    }

    fn list_vms(&self, shape: &PlatformShape) {
        let workers = self.workers.address.to_string();
        self.world.directory.change(|list| {
            for vm in list.iter_mut().filter(|vm| vm.role == "worker") {
                vm.address.clone_from(&workers);
            }
            list.extend((0..shape.other_vms).map(other_vm));
        });
    }

    async fn start_entry(&mut self, shape: &PlatformShape, index: usize) -> CapacityResult<()> {
        let vm = format!("entry-{index}");
        let interval = shape.sync_interval.as_millis();
        let entry = EntryChild::start(&[
            ("vm", vm.clone()),
            ("zone", "a".into()),
            ("log", self.log.address.to_string()),
            ("directory", self.directory.address.to_string()),
            ("signers", hex::encode(signing_key().verifying_key().to_bytes())),
            ("sync-interval-ms", interval.to_string()),
            ("lease-ms", (interval * 3).to_string()),
        ])?;
        let relay = RelayStandin::start(entry.peer_listen, self.token.child_token()).await?;
        self.world.list_entry(&vm, "a", &relay.address.to_string());
        self.peers.push(relay);
        self.entries.push(entry);
        Ok(())
    }

    async fn publish(&self, shape: &PlatformShape) -> CapacityResult<()> {
        let mut record =
            BundleRecord { version: 1, base: 0, text: bundle_text(shape), signatures: Vec::new() };
        bundle_signature::sign(&mut record, &signing_key());
        let group = RecordGroup {
            process: "operator".into(),
            sequence: 1,
            at_ms: unix_ms(),
            records: vec![LogRecord::Bundle(record)],
        };
        let body = json!({ "body": serde_json::to_string(&group)? });
        let url = format!("http://{}/streams/control/records", self.world.log.address);
        awc::Client::default().post(url).send_json(&body).await.map_err(|error| error.to_string())?;
        Ok(())
    }

    async fn wait_ready(&self) -> CapacityResult<()> {
        let deadline = tokio::time::Instant::now() + MAX_READY_WAIT;
        while tokio::time::Instant::now() < deadline {
            if self.call(&awc::Client::default(), 0, "ready").await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err("the first entry process did not become ready in time".into())
    }

    /// Sends an idempotent request to a process. Returns whether the answer has a success status.
    pub async fn call(&self, client: &awc::Client, entry: usize, id: &str) -> bool {
        let url = format!("http://{}/v1/services/planner/requests", self.entries[entry].listen);
        let request = client
            .post(url)
            .insert_header(("x-team", "team-0"))
            .insert_header(("x-team-key", TEAM_KEY))
            .insert_header(("x-request-id", id))
            .insert_header(("x-idempotent", "true"));
        request.send_body("body").await.is_ok_and(|response| response.status().is_success())
    }

    /// Submits a job of one task to the first process. Returns whether it was accepted.
    pub async fn submit(&self, client: &awc::Client, name: &str, run_ms: u64) -> bool {
        let job: Value = json!({
            "name": name, "team": "team-0", "queue": "main", "kind": "batch",
            "need": { "cores_milli": 1_000, "memory_mib": 1_024 }, "run_ms": run_ms,
        });
        let url = format!("http://{}/v1/jobs", self.entries[0].listen);
        let request = client.post(url).insert_header(("x-team-key", TEAM_KEY));
        request.send_json(&job).await.is_ok_and(|response| response.status().is_success())
    }
}

fn signing_key() -> SigningKey {
    SigningKey::from_bytes(&[5; 32])
}

/// Returns a worker VM in region `r2` whose address accepts no connections.
fn other_vm(index: usize) -> ListedVm {
    ListedVm {
        vm: format!("worker-other-{index}"),
        zone: "a".into(),
        region: "r2".into(),
        rack: format!("rack-{}", index / 4),
        role: "worker".into(),
        state: "live".into(),
        address: "127.0.0.1:1".into(),
        cores: 64,
        memory_mib: 256 * 1_024,
        accelerators: 1,
        ..ListedVm::default()
    }
}

/// Returns the text of a bundle with two zones in region `r1`, one service and the teams of the shape.
#[must_use]
pub fn bundle_text(shape: &PlatformShape) -> String {
    let mut text =
        String::from("version = 1\nbase = 0\n[[queues]]\nid = \"main\"\n[[services]]\nid = \"planner\"\n");
    for zone in ["a", "b"] {
        let _ = write!(text, "[[zones]]\nid = \"{zone}\"\nregion = \"r1\"\nstate = \"in\"\n");
    }
    for team in 0..shape.teams {
        let key = if team == 0 { TEAM_KEY.to_owned() } else { format!("key-{team}") };
        let _ = write!(
            text,
            "[[teams]]\nid = \"team-{team}\"\nshare = 1\nlimit = {{ cores_milli = {}, memory_mib = 1000000000, \
             accelerators = 7900 }}\n[[keys]]\nid = \"team-{team}-1\"\nteam = \"team-{team}\"\nsha256 = \"{}\"\n",
            shape.team_millicores,
            bundle_signature::key_digest(&key)
        );
    }
    text
}
