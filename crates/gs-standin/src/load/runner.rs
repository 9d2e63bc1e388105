//! Sends planned arrivals from several threads and merges their statistics.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use awc::Client;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;
use uuid::Uuid;

use super::client::build_client;
use super::completion::{CompletionCall, call_entry};
use super::engines::{check_runs, compare_totals, read_totals};
use super::entries::EntryPool;
use super::error::LoadError;
use super::exchange::{CallEnd, CallOutcome};
use super::mix::LoadMix;
use super::options::MixOptions;
use super::recorder::{ClassStats, ServiceStats};
use super::report::{ClassReport, LoadReport, RunDurations, ServiceReport};
use super::schedule::{Arrival, ArrivalKind, CompletionPlan, build_prompt, plan_arrivals};
use super::service::{ServiceCall, call_service};

/// Delay before the first arrival, so that all threads have started.
const START_DELAY: Duration = Duration::from_millis(500);

/// Statistics of one thread, or of all threads after merging.
#[derive(Clone, Debug)]
struct RunStats {
    classes: Vec<ClassStats>,
    services: Vec<ServiceStats>,
}

/// The requests of one thread and the options to send them with.
struct ThreadPlan {
    mix: Arc<LoadMix>,
    options: MixOptions,
    arrivals: Vec<Arrival>,
    start: Instant,
    seed: u64,
}

/// The state that the tasks of one thread share.
struct ThreadContext {
    mix: Arc<LoadMix>,
    client: Client,
    pool: EntryPool,
    random: RefCell<Pcg64Mcg>,
    stats: RefCell<RunStats>,
    start: Instant,
}

/// Runs a mix and prints its report.
pub fn run(options: &MixOptions) -> Result<(), LoadError> {
    let mix = LoadMix::from_options(options)?;
    let report = run_mix(options, mix)?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}

/// Runs a mix and returns its report.
pub fn run_mix(options: &MixOptions, mix: LoadMix) -> Result<LoadReport, LoadError> {
    if options.entry.is_empty() && options.entries_from.is_none() {
        return Err(LoadError::NoEntries);
    }
    let system = actix_rt::System::new();
    let client = system.block_on(async { build_client() });
    let before = system.block_on(read_totals(&client, &options.engine))?;
    let mix = Arc::new(mix);
    let stats = run_threads(options, &mix)?;
    let after = system.block_on(read_totals(&client, &options.engine))?;
    let keys = join_keys(&stats, |service| &service.keys);
    let not_run = join_keys(&stats, |service| &service.not_run_keys);
    let check = check_runs(&client, &options.service, &keys, &not_run);
    let check = system.block_on(check)?;
    let mut report = build_report(options, &mix, &stats);
    report.prefill = (!options.engine.is_empty()).then(|| compare_totals(&before, &after));
    report.runs = (!options.service.is_empty()).then_some(check);
    Ok(report)
}

fn run_threads(options: &MixOptions, mix: &Arc<LoadMix>) -> Result<RunStats, LoadError> {
    let length = Duration::from_secs_f64(options.seconds);
    let arrivals = plan_arrivals(mix, options.seed, length);
    let start = Instant::now() + START_DELAY;
    let count = options.threads.max(1);
    let threads: Vec<_> = (0..count)
        .map(|number| {
            let plan = ThreadPlan {
                mix: Arc::clone(mix),
                options: options.clone(),
                arrivals: arrivals
                    .iter()
                    .skip(number)
                    .step_by(count)
                    .cloned()
                    .collect(),
                start,
                seed: options.seed.wrapping_add(number as u64),
            };
            thread::spawn(move || actix_rt::System::new().block_on(run_thread(plan)))
        })
        .collect();
    let mut stats = RunStats::new(mix);
    for thread in threads {
        stats.merge(&thread.join().map_err(|_| LoadError::ThreadEnded)?);
    }
    Ok(stats)
}

async fn run_thread(plan: ThreadPlan) -> RunStats {
    let context = Rc::new(ThreadContext {
        stats: RefCell::new(RunStats::new(&plan.mix)),
        mix: plan.mix,
        client: build_client(),
        pool: EntryPool::fixed(&plan.options.entry),
        random: RefCell::new(Pcg64Mcg::seed_from_u64(plan.seed)),
        start: plan.start,
    });
    if let Some(from) = plan.options.entries_from {
        // If this first request fails, the task below retries it.
        let _ = context.refresh_entries(from).await;
        let context = Rc::clone(&context);
        actix_rt::spawn(async move { context.refresh_entries_periodically(from).await });
    }
    let mut tasks = JoinSet::new();
    for arrival in plan.arrivals {
        tokio::time::sleep_until((plan.start + arrival.at).into()).await;
        let context = Rc::clone(&context);
        tasks.spawn_local(async move { context.send(arrival).await });
    }
    let drain = Duration::from_secs_f64(plan.options.drain_seconds);
    let all = async { while tasks.join_next().await.is_some() {} };
    // Calls that take longer are reported as unfinished.
    let _ = tokio::time::timeout(drain, all).await;
    let stats = context.stats.borrow();
    stats.clone()
}

impl ThreadContext {
    async fn refresh_entries(&self, from: SocketAddr) -> Result<Duration, LoadError> {
        let token = self.mix.any_token();
        self.pool.refresh(&self.client, from, token).await
    }

    async fn refresh_entries_periodically(&self, from: SocketAddr) {
        let token = self.mix.any_token();
        self.pool
            .refresh_periodically(&self.client, from, token)
            .await;
    }

    async fn send(&self, arrival: Arrival) {
        let start = self.start + arrival.at;
        let class = arrival.class;
        match arrival.kind {
            ArrivalKind::Completion(plan) => self.send_completion(class, &plan, start).await,
            ArrivalKind::Call(seed) => self.send_call(class, seed, start).await,
        }
    }

    async fn send_completion(&self, class: usize, plan: &CompletionPlan, start: Instant) {
        let class_mix = &self.mix.classes[class];
        let at = start.saturating_duration_since(self.start);
        let in_flood = self.mix.floods_at(at.as_secs_f64());
        self.stats.borrow_mut().classes[class].begin(in_flood);
        let prompt = build_prompt(class_mix, plan);
        let call = CompletionCall {
            token: &class_mix.token,
            model: &class_mix.model,
            prompt: &prompt,
            output_tokens: plan.output_tokens,
            cancel_after: plan.cancel_after,
            start,
            counter: None,
        };
        let entry = self.pool.choose(&mut self.random.borrow_mut(), None);
        let outcome = match entry {
            Some(entry) => call_entry(&self.client, entry, &call).await,
            None => CallOutcome::without_tokens(CallEnd::Unreachable),
        };
        self.stats.borrow_mut().classes[class].add(class_mix, &outcome, in_flood);
    }

    async fn send_call(&self, class: usize, seed: u64, start: Instant) {
        let service = &self.mix.services[class];
        self.stats.borrow_mut().services[class].sent += 1;
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let call = ServiceCall {
            service,
            seed,
            start,
        };
        let outcome = call_service(&self.client, &self.pool, &mut random, call).await;
        self.stats.borrow_mut().services[class].add(service, &outcome);
    }
}

impl RunStats {
    fn new(mix: &LoadMix) -> Self {
        Self {
            classes: vec![ClassStats::default(); mix.classes.len()],
            services: vec![ServiceStats::default(); mix.services.len()],
        }
    }

    fn merge(&mut self, other: &Self) {
        for (class, other) in self.classes.iter_mut().zip(&other.classes) {
            class.merge(other);
        }
        for (service, other) in self.services.iter_mut().zip(&other.services) {
            service.merge(other);
        }
    }
}

fn join_keys(stats: &RunStats, keys: impl Fn(&ServiceStats) -> &Vec<Uuid>) -> Vec<Uuid> {
    let keys = stats.services.iter().flat_map(keys);
    keys.copied().collect()
}

fn build_report(options: &MixOptions, mix: &LoadMix, stats: &RunStats) -> LoadReport {
    let durations = RunDurations {
        total_s: options.seconds,
        flood_s: mix.flood_seconds(options.seconds),
    };
    let classes = mix.classes.iter().zip(&stats.classes);
    let services = mix.services.iter().zip(&stats.services);
    LoadReport {
        seconds: options.seconds,
        seed: options.seed,
        classes: classes
            .map(|(class, stats)| ClassReport::new(class, stats, durations))
            .collect(),
        services: services
            .map(|(service, stats)| ServiceReport::new(service, stats))
            .collect(),
        prefill: None,
        runs: None,
    }
}
