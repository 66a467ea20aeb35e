//! A complete set of stand-ins: a log, a VM list, workers and endpoints.

use rustc_hash::FxHashMap;
use tokio_util::sync::CancellationToken;

use crate::directory::{DirectoryStandin, ListedVm};
use crate::endpoint::EndpointStandin;
use crate::invariant::WorldFacts;
use crate::logservice::LogStandin;
use crate::worker::WorkerStandin;

/// Zones, workers and services for which stand-ins are started.
#[derive(Clone, Debug)]
pub struct WorldShape {
    /// Availability zones; all are in region `r1`.
    pub zones: Vec<String>,
    /// Workers per zone, two in each rack; every fourth has 8 accelerators.
    pub workers_per_zone: usize,
    /// Name and number of endpoints of each service.
    pub services: Vec<(String, usize)>,
}

impl Default for WorldShape {
    fn default() -> Self {
        Self {
            zones: vec!["a".into(), "b".into(), "c".into()],
            workers_per_zone: 8,
            services: vec![("planner".into(), 6)],
        }
    }
}

/// The running stand-ins, which share one VM list.
#[derive(Clone)]
pub struct StandinWorld {
    /// The log service that all processes share.
    pub log: LogStandin,
    /// The VM list; contains the workers and the endpoints from the start.
    pub directory: DirectoryStandin,
    /// The server that simulates all workers.
    pub workers: WorkerStandin,
    /// Endpoints by VM name, `SERVICE-INDEX`.
    pub endpoints: FxHashMap<String, EndpointStandin>,
    /// Capacity and zone of each worker; tests add team limits and zone closures for the invariant check.
    pub facts: WorldFacts,
}

impl StandinWorld {
    /// Starts all stand-ins on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if a port cannot be bound.
    pub async fn start(shape: &WorldShape, token: &CancellationToken) -> std::io::Result<Self> {
        let log = LogStandin::start("127.0.0.1:0", token.child_token()).await?;
        let directory = DirectoryStandin::start("127.0.0.1:0", token.child_token()).await?;
        let workers = WorkerStandin::start("127.0.0.1:0", token.child_token()).await?;
        let mut world =
            Self { log, directory, workers, endpoints: FxHashMap::default(), facts: WorldFacts::default() };
        world.add_workers(shape);
        world.start_endpoints(shape, token).await?;
        Ok(world)
    }

    /// Adds an entry VM to the VM list, in place of one of the same name.
    pub fn list_entry(&self, vm: &str, zone: &str, address: &str) {
        let listed = ListedVm {
            vm: vm.into(),
            zone: zone.into(),
            region: "r1".into(),
            rack: format!("{vm}-rack"),
            role: "entry".into(),
            state: "live".into(),
            address: address.into(),
            ..ListedVm::default()
        };
        self.directory.change(|list| {
            list.retain(|known| known.vm != vm);
            list.push(listed);
        });
    }

    /// Removes a VM from the VM list; its stand-in keeps running.
    pub fn unlist(&self, vm: &str) {
        self.directory.change(|list| list.retain(|known| known.vm != vm));
    }

    fn add_workers(&mut self, shape: &WorldShape) {
        let address = self.workers.address.to_string();
        for zone in &shape.zones {
            for index in 0..shape.workers_per_zone {
                let vm = format!("worker-{zone}{index}");
                let accelerators = if index % 4 == 0 { 8 } else { 0 };
                let listed = ListedVm {
                    vm: vm.clone(),
                    zone: zone.clone(),
                    region: "r1".into(),
                    rack: format!("rack-{zone}{}", index / 2),
                    role: "worker".into(),
                    state: "live".into(),
                    address: address.clone(),
                    cores: 64,
                    memory_mib: 256 * 1024,
                    accelerators,
                    ..ListedVm::default()
                };
                self.facts.capacity.insert(vm.clone(), [64_000, listed.memory_mib, accelerators]);
                self.facts.zones.insert(vm, zone.clone());
                self.directory.change(|list| list.push(listed));
            }
        }
    }

    async fn start_endpoints(
        &mut self,
        shape: &WorldShape,
        token: &CancellationToken,
    ) -> std::io::Result<()> {
        for (service, count) in &shape.services {
            for index in 0..*count {
                let endpoint = EndpointStandin::start("127.0.0.1:0", token.child_token()).await?;
                let zone = &shape.zones[index % shape.zones.len()];
                let listed = ListedVm {
                    vm: format!("{service}-{index}"),
                    zone: zone.clone(),
                    region: "r1".into(),
                    rack: format!("{service}-rack-{}", index / 4),
                    role: "endpoint".into(),
                    state: "live".into(),
                    address: endpoint.address.to_string(),
                    service: service.clone(),
                    slots: 8,
                    connections: 64,
                    ..ListedVm::default()
                };
                self.endpoints.insert(listed.vm.clone(), endpoint);
                self.directory.change(|list| list.push(listed));
            }
        }
        Ok(())
    }
}
