//! Stand-ins behind counting relays, with entry processes as children.

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

/// Result of a step of the measurement.
pub type StepResult<T> = Result<T, Box<dyn std::error::Error>>;

/// Key of the only team with work.
pub const TEAM_KEY: &str = "capacity-key";
/// Longest wait until a process takes work.
const READY_TIME: Duration = Duration::from_secs(20);

/// Size of the measured platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformShape {
    /// Entry processes.
    pub processes: usize,
    /// Workers.
    pub workers: usize,
    /// VMs of no concern on the list.
    pub other_vms: usize,
    /// Endpoints of the service.
    pub endpoints: usize,
    /// Time between two syncs of a worker.
    pub sync_interval: Duration,
    /// Teams in the bundle.
    pub teams: usize,
    /// Millicores that the working team may use.
    pub team_cores: u64,
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
            team_cores: 100_000_000,
        }
    }
}

/// Bytes that passed between an entry process and each of its neighbours.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCount {
    /// To and from the log.
    pub log: RelayCount,
    /// To and from the VM list.
    pub directory: RelayCount,
    /// To and from workers.
    pub workers: RelayCount,
    /// To and from other entry processes that call the first one.
    pub peers: RelayCount,
}

/// The running platform.
pub struct CapacityPlatform {
    /// The stand-ins.
    pub world: StandinWorld,
    /// The entry processes; the first one is measured.
    pub entries: Vec<EntryChild>,
    log: RelayStandin,
    directory: RelayStandin,
    workers: RelayStandin,
    peers: Vec<RelayStandin>,
    token: CancellationToken,
}

impl CapacityPlatform {
    /// Starts the platform, publishes a bundle and waits until the first process takes work.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket or a process cannot be started or does not get ready in time.
    pub async fn start(shape: &PlatformShape) -> StepResult<Self> {
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

    /// Reads the counts of the relays.
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

    /// Reads a counter of the first process.
    ///
    /// # Errors
    ///
    /// Returns an error if the operators' interface does not answer.
    pub async fn counter(&self, name: &str) -> StepResult<f64> {
        let url = format!("http://{}/metrics", self.entries[0].operator_listen);
        let mut response = awc::Client::default().get(url).send().await.map_err(|error| error.to_string())?;
        let body = response.body().await?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let value =
            text.lines().filter_map(|line| line.strip_prefix(name)).find_map(|rest| rest.trim().parse().ok());
        Ok(value.unwrap_or(0.0))
    }

    /// Ends all children and stand-ins.
    pub fn stop(self) {
        drop(self.entries);
        self.token.cancel();
    }

    /// Replaces a VM of no concern on the list by another one.
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

    async fn start_entry(&mut self, shape: &PlatformShape, index: usize) -> StepResult<()> {
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

    async fn publish(&self, shape: &PlatformShape) -> StepResult<()> {
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

    async fn wait_ready(&self) -> StepResult<()> {
        let deadline = tokio::time::Instant::now() + READY_TIME;
        while tokio::time::Instant::now() < deadline {
            if self.call(&awc::Client::default(), 0, "ready").await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err("the entry process did not get ready".into())
    }

    /// Sends an idempotent request to a process; returns whether an answer came.
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

    /// Submits a job of one task to the first process; returns whether it was accepted.
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

/// Returns the bundle of a platform.
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
            shape.team_cores,
            bundle_signature::key_digest(&key)
        );
    }
    text
}
