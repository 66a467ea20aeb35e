//! Starts and stops the tasks of an entry process that serves a cell.

use actix_rt::task::JoinHandle;
use std::hash::{BuildHasher, BuildHasherDefault};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::admission::{AdmissionGate, MemoryGate, RefusalTally};
use crate::kernel::cell::{ClaimWatch, HandoverWatch, MIN_OWNER_MILLICORES};
use crate::kernel::connections::ClientLimits;
use crate::prelude::*;
use crate::settings::SettingFault;
use crate::tasks::CHANNEL_CAPACITY;
use crate::tasks::cell::admission::AdmissionTask;
use crate::tasks::cell::advisor::AdvisorTask;
use crate::tasks::cell::claim::{ClaimMessage, ClaimTask, OWNER_TIMEOUT};
use crate::tasks::cell::config_feed::ConfigFeed;
use crate::tasks::cell::intake::{IntakeTask, JOB_PARTITIONS};
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::operator_pages::OperatorPages;
use crate::tasks::cell::peer::{self, CellService, OwnerRoute};
use crate::tasks::cell::ports::{CellAdapter, FrontEndContext};
use crate::tasks::cell::process_listeners::ProcessListeners;
use crate::tasks::cell::settings::CellSettings;
use crate::tasks::cell::submit_queue::SubmitQueue;
use crate::tasks::client_access::ClientAccess;

/// Additional delay before a process with a low CPU limit claims the cell, so that others claim it first.
const LOW_CPU_CLAIM_DELAY: Duration = Duration::from_millis(900);
/// Upper bound in milliseconds of the part of the claim delay that is derived from the VM's name, so that
/// processes do not claim at the same time.
const MAX_CLAIM_SPREAD_MS: u64 = 300;
/// How long a draining process still accepts calls; the load balancer notices within two readiness checks of
/// 1 s.
const DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace time that is kept for the exit itself.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// A running entry process that serves a cell.
pub struct CellProcess {
    /// Name of the process: the VM and a random incarnation.
    pub process: ProcessId,
    settings: CellSettings,
    claim_sender: mpsc::Sender<ClaimMessage>,
    /// Cancelled when the process begins to drain: readiness checks fail, but calls are still served.
    draining: CancellationToken,
    /// Cancelled when the front end must accept no further calls.
    closing: CancellationToken,
    /// Cancelled to stop all tasks.
    token: CancellationToken,
    front: JoinHandle<()>,
}

impl CellProcess {
    /// Binds all sockets and starts all tasks on the current actix runtime.
    ///
    /// # Errors
    ///
    /// Returns a fault if a socket cannot be bound, a metric is registered twice or no random number is
    /// available.
    pub async fn start(adapter: CellAdapter, settings: CellSettings) -> Result<Self, SettingFault> {
        let listeners = ProcessListeners::bind(&settings).await?;
        let metrics = CellMetrics::new().map_err(|error| SettingFault { text: error.to_string() })?;
        let incarnation =
            getrandom::u64().map_err(|error| SettingFault { text: format!("no random numbers: {error}") })?;
        let process: ProcessId = format!("{}.{incarnation:016x}", settings.vm).into();
        let token = CancellationToken::new();
        let (draining, closing) = (token.child_token(), token.child_token());
        let store = (adapter.store)(&settings);
        let advisor = (adapter.advisor)(&settings);
        let (intake_sender, intake_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (claim_sender, claim_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (advisor_sender, advisor_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (admission_sender, admission_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (route, routes) = watch::channel(OwnerRoute::Unknown);

        let limits = ClientLimits { exchange_timeout: settings.exchange_timeout, ..ClientLimits::default() };
        let (access, client_limits) = ClientAccess::start(
            settings.connection_capacity,
            limits,
            metrics.connections.clone(),
            token.clone(),
        );
        let pages = OperatorPages {
            metrics: metrics.clone(),
            intake_sender: intake_sender.clone(),
            parse_job: adapter.parse_job,
        };
        actix_rt::spawn(pages.serve(listeners.operators, access.clone(), token.clone()));
        let feed = ConfigFeed {
            adapter,
            store: store.clone(),
            intake_sender: intake_sender.clone(),
            claim_sender: claim_sender.clone(),
            client_limits,
            metrics: metrics.clone(),
        };
        actix_rt::spawn(feed.run(token.clone()));
        let intake_task = IntakeTask {
            queue: SubmitQueue::new(store.clone(), submission_partition(&settings), metrics.clone()),
            route: routes.clone(),
            config: None,
            gate: AdmissionGate::default(),
            memory_gate: MemoryGate::new(settings.memory_budget),
            tally: RefusalTally::default(),
            own_sender: intake_sender.clone(),
            metrics: metrics.clone(),
        };
        actix_rt::spawn(intake_task.run(intake_inbox, token.clone()));
        let advisor_task = AdvisorTask::new(advisor.clone(), advisor_sender.clone(), metrics.clone());
        actix_rt::spawn(advisor_task.run(advisor_inbox, token.clone()));
        let admission_task = AdmissionTask { intake_sender: intake_sender.clone(), followers: Vec::new() };
        actix_rt::spawn(admission_task.run(admission_inbox, token.clone()));
        let service = CellService {
            process: process.clone(),
            route: routes,
            advisor_sender: advisor_sender.clone(),
            admission_sender: admission_sender.clone(),
            claim_sender: claim_sender.clone(),
            intake_sender: intake_sender.clone(),
        };
        actix_rt::spawn(peer::serve(listeners.peers, service, access.clone(), token.clone()));
        let cpu_limit = settings.cpu_limit;
        let own_address: Arc<str> = settings.peer_listen.to_string().into();
        let claim_task = ClaimTask {
            process: process.clone(),
            address: own_address.clone(),
            adapter,
            store,
            advisor,
            advisor_sender,
            admission_sender,
            intake_sender: intake_sender.clone(),
            metrics,
            own_sender: claim_sender.clone(),
            route,
            claim_watch: ClaimWatch::new(OWNER_TIMEOUT, claim_delay(&settings)),
            handover_watch: HandoverWatch::new(cpu_limit),
            cpu_limit,
            longest_lease: settings.longest_lease,
            log_retention: settings.log_retention,
            usage_half_life: settings.usage_half_life,
            memory_budget: settings.memory_budget,
            peers: settings.peer_addresses.iter().filter(|peer| **peer != own_address).cloned().collect(),
        };
        actix_rt::spawn(claim_task.run(claim_inbox, token.clone()));
        let front = FrontEndContext {
            listener: listeners.front_end,
            readiness_listener: listeners.readiness,
            access,
            intake_sender,
            draining: draining.clone(),
            token: closing.clone(),
        };
        let front = actix_rt::spawn((adapter.serve)(front));
        log::info!(process = &*process, platform = adapter.name, zone = &*settings.zone,
            listen:% = settings.front_end_listen;
            "entry process started");
        Ok(Self { process, settings, claim_sender, draining, closing, token, front })
    }

    /// Logs whether the settings, loaded again after a reload signal, are valid; they take effect only at the
    /// next start.
    pub fn log_reloaded_settings(&self, loaded: Result<CellSettings, SettingFault>) {
        match loaded {
            Ok(_) => log::info!(process = &*self.process; "settings are valid, used at the next start"),
            Err(fault) => log::warn!(process = &*self.process, reason:% = fault; "settings are invalid"),
        }
    }

    /// Stops gracefully: releases the cell, fails readiness checks so that callers move to other processes,
    /// and answers the calls in progress.
    pub async fn stop(mut self) {
        let started = Instant::now();
        self.draining.cancel();
        let (reply, released) = oneshot::channel();
        if self.claim_sender.send(ClaimMessage::Resign(reply)).await.is_ok()
            && tokio::time::timeout(DRAIN_TIME, released).await.is_err()
        {
            log::warn!(process = &*self.process; "ownership was not released in time");
        }
        tokio::time::sleep(DRAIN_TIME.saturating_sub(started.elapsed())).await;
        self.closing.cancel();
        let remaining = self.settings.grace.saturating_sub(started.elapsed() + EXIT_MARGIN);
        if tokio::time::timeout(remaining, &mut self.front).await.is_err() {
            log::warn!(process = &*self.process; "calls are still in progress when the grace time ends");
        }
        self.token.cancel();
        log::info!(process = &*self.process; "entry process stopped");
    }
}

/// Returns the partition to which this process appends submissions and cancellations.
fn submission_partition(settings: &CellSettings) -> PartitionNumber {
    let part = hash_vm(&settings.vm) % u64::from(JOB_PARTITIONS);
    PartitionNumber::try_from(part).unwrap_or_default()
}

fn hash_vm(vm: &VmId) -> u64 {
    BuildHasherDefault::<rustc_hash::FxHasher>::default().hash_one(vm)
}

/// Returns the delay that this process adds before it claims a cell without an owner or with a silent one.
fn claim_delay(settings: &CellSettings) -> Duration {
    let spread = Duration::from_millis(hash_vm(&settings.vm) % MAX_CLAIM_SPREAD_MS);
    if settings.cpu_limit < MIN_OWNER_MILLICORES { LOW_CPU_CLAIM_DELAY + spread } else { spread }
}
