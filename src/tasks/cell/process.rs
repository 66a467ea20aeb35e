//! Starts and stops the tasks of an entry process that serves a cell.

use actix_rt::task::JoinHandle;
use std::hash::{BuildHasher, BuildHasherDefault};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::{ClaimWatch, HandoverWatch, MIN_OWNER_MILLICORES};
use crate::prelude::*;
use crate::settings::SettingFault;
use crate::tasks::CHANNEL_CAPACITY;
use crate::tasks::cell::advisor::AdvisorTask;
use crate::tasks::cell::claim::{ClaimMessage, ClaimTask, OWNER_TIMEOUT};
use crate::tasks::cell::config_feed::ConfigFeed;
use crate::tasks::cell::intake::{IntakeTask, JOB_PARTITIONS};
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::peer::{self, CellService, OwnerRoute};
use crate::tasks::cell::ports::{CellAdapter, FrontendContext};
use crate::tasks::cell::settings::CellSettings;
use crate::tasks::cell::submit_queue::SubmitQueue;

/// Time that a process with little processor time leaves to others before it claims the cell.
const SMALL_CLAIM_DELAY: Duration = Duration::from_millis(900);
/// Range over which processes that could claim at once are spread.
const CLAIM_SPREAD_MS: u64 = 300;
/// How long callers may still reach a process that is leaving; the balancer notices within two checks of 1 s.
const LEAVE_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace time that is left for the exit itself.
const EXIT_TIME: Duration = Duration::from_millis(700);

/// A running entry process that serves a cell.
pub struct CellProcess {
    /// Name of this life of the process.
    pub process: ProcessId,
    settings: CellSettings,
    claim: mpsc::Sender<ClaimMessage>,
    leaving: CancellationToken,
    closing: CancellationToken,
    token: CancellationToken,
    front: JoinHandle<()>,
}

impl CellProcess {
    /// Binds all sockets and starts all tasks on the current actix runtime.
    ///
    /// # Errors
    ///
    /// Returns a fault if a socket cannot be bound.
    pub async fn start(adapter: CellAdapter, settings: CellSettings) -> Result<Self, SettingFault> {
        let listener = bind(settings.front).await?;
        let ready = bind(settings.ready).await?;
        let peer_listener = bind(settings.peer).await?;
        let metrics_listener = bind(settings.metrics).await?;
        let metrics = CellMetrics::new().map_err(|error| SettingFault { text: error.to_string() })?;
        let pages = metrics.clone();
        let incarnation =
            getrandom::u64().map_err(|error| SettingFault { text: format!("no random numbers: {error}") })?;
        let process: ProcessId = format!("{}.{incarnation:016x}", settings.vm).into();
        let token = CancellationToken::new();
        let (leaving, closing) = (token.child_token(), token.child_token());
        let store = (adapter.store)(&settings);
        let advisor = (adapter.advisor)(&settings);
        let (intake, intake_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (claim, claim_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (advice, advice_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (route, routes) = watch::channel(OwnerRoute::Unknown);

        actix_rt::spawn(pages.serve(metrics_listener, token.clone()));
        let feed = ConfigFeed {
            adapter,
            store: store.clone(),
            intake: intake.clone(),
            claim: claim.clone(),
            metrics: metrics.clone(),
        };
        actix_rt::spawn(feed.run(token.clone()));
        let task = IntakeTask {
            queue: SubmitQueue::new(store.clone(), partition(&settings), metrics.clone()),
            route: routes.clone(),
            config: None,
            metrics: metrics.clone(),
        };
        actix_rt::spawn(task.run(intake_inbox, token.clone()));
        let task = AdvisorTask::new(advisor.clone(), advice.clone(), metrics.clone());
        actix_rt::spawn(task.run(advice_inbox, token.clone()));
        let service = CellService {
            process: process.clone(),
            route: routes,
            advice: advice.clone(),
            claim: claim.clone(),
            intake: intake.clone(),
        };
        actix_rt::spawn(peer::serve(peer_listener, service, token.clone()));
        let cpu_limit = settings.cpu_limit;
        let own: Arc<str> = settings.peer.to_string().into();
        let task = ClaimTask {
            process: process.clone(),
            address: own.clone(),
            adapter,
            store,
            advisor,
            advice,
            metrics,
            inbox: claim.clone(),
            route,
            watch: ClaimWatch::new(OWNER_TIMEOUT, claim_delay(&settings)),
            handover: HandoverWatch::new(cpu_limit),
            cpu_limit,
            longest_lease: settings.longest_lease,
            log_retention: settings.log_retention,
            peers: settings.peers.iter().filter(|peer| **peer != own).cloned().collect(),
        };
        actix_rt::spawn(task.run(claim_inbox, token.clone()));
        let front =
            FrontendContext { listener, ready, intake, leaving: leaving.clone(), token: closing.clone() };
        let front = actix_rt::spawn((adapter.serve)(front));
        log::info!(process = &*process, platform = adapter.name, zone = &*settings.zone,
            listen:% = settings.front;
            "entry process started");
        Ok(Self { process, settings, claim, leaving, closing, token, front })
    }

    /// Notes that the settings may have changed; they take effect with the next start.
    pub fn reload(&self, loaded: Result<CellSettings, SettingFault>) {
        match loaded {
            Ok(_) => log::info!(process = &*self.process; "settings are read again"),
            Err(fault) => log::warn!(process = &*self.process, reason:% = fault; "settings cannot be used"),
        }
    }

    /// Stops gracefully: gives the cell up, lets callers go elsewhere and answers what was taken.
    pub async fn stop(mut self) {
        let started = Instant::now();
        self.leaving.cancel();
        let (reply, left) = oneshot::channel();
        if self.claim.send(ClaimMessage::Resign(reply)).await.is_ok()
            && tokio::time::timeout(LEAVE_TIME, left).await.is_err()
        {
            log::warn!(process = &*self.process; "ownership is not released in time");
        }
        tokio::time::sleep(LEAVE_TIME.saturating_sub(started.elapsed())).await;
        self.closing.cancel();
        let rest = self.settings.grace.saturating_sub(started.elapsed() + EXIT_TIME);
        if tokio::time::timeout(rest, &mut self.front).await.is_err() {
            log::warn!(process = &*self.process; "calls are still open");
        }
        self.token.cancel();
        log::info!(process = &*self.process; "entry process stopped");
    }
}

/// Returns the partition to which this process appends submissions.
fn partition(settings: &CellSettings) -> PartitionNumber {
    let part = hash(&settings.vm) % u64::from(JOB_PARTITIONS);
    PartitionNumber::try_from(part).unwrap_or_default()
}

fn hash(vm: &VmId) -> u64 {
    BuildHasherDefault::<rustc_hash::FxHasher>::default().hash_one(vm)
}

/// Returns how long this process leaves a free cell to others.
fn claim_delay(settings: &CellSettings) -> Duration {
    let spread = Duration::from_millis(hash(&settings.vm) % CLAIM_SPREAD_MS);
    if settings.cpu_limit < MIN_OWNER_MILLICORES { SMALL_CLAIM_DELAY + spread } else { spread }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, SettingFault> {
    let fault = |error| SettingFault { text: format!("cannot listen on {address}: {error}") };
    TcpListener::bind(address).await.map_err(fault)
}
