//! Time of one routing decision: a request arrives, is dispatched to a worker and finishes.

use std::{hint::black_box, sync::Arc, time::Duration};

use config::{
    ActiveConfig, BackendServer, DataCentre, Deployment, Limits, Model, Priority, Service,
    ServiceKind,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use route::{Event, Fingerprint, Router, RoutingRequest, Settings, Target};
use types::{
    Bytes, ConfigVersion, Deadline, Epoch, Incarnation, Instant, LoadReport, Micros, RequestId,
    Resident,
};

/// Returns a deployment of one data centre whose workers all hold the same model.
fn deployment(workers: usize) -> Deployment {
    let service = Service {
        name: "chat".parse().expect("a name"),
        kind: ServiceKind::Model,
        priority: Priority::new(1),
        deadline: Micros::from_secs(5),
        max_deadline: Micros::from_secs(60),
        first_token: Micros::from_millis(490),
        between_tokens: Micros::from_millis(26),
        idempotent: true,
    };
    Deployment {
        limits: Limits {
            queue: 256,
            ..Limits::default()
        },
        data_centres: vec![DataCentre {
            id: "a".parse().expect("a name"),
            region: "r".parse().expect("a name"),
        }],
        models: vec![Model {
            id: "m1".parse().expect("a name"),
            version: "v1".parse().expect("a name"),
            service: service.name.clone(),
            bytes: Bytes::new(1 << 34),
            priority: Priority::new(1),
        }],
        backends: (0..workers)
            .map(|at| BackendServer {
                id: format!("w{at:04}").parse().expect("a name"),
                dc: "a".parse().expect("a name"),
                service: service.name.clone(),
                memory: Bytes::new(80 << 30),
                adapter_pool: Bytes::ZERO,
                accelerators: 2,
                speed: 1.0 + (at % 4) as f64,
                max_in_flight: 32,
                fences: false,
            })
            .collect(),
        services: vec![service],
        ..Deployment::default()
    }
}

fn report(in_flight: u32) -> Arc<LoadReport> {
    Arc::new(LoadReport {
        incarnation: Incarnation::new(1),
        leaving: false,
        memory: Bytes::ZERO,
        used: Bytes::ZERO,
        in_flight,
        queued: 0,
        tokens_per_second: 0.0,
        residents: vec![Resident {
            name: "m1".to_owned(),
            version: "v1".parse().expect("a name"),
            bytes: Bytes::new(1 << 34),
            adapter: false,
        }],
        orders: Vec::new(),
        age_ms: 0,
        fence: Epoch::default(),
    })
}

fn router(workers: usize) -> Router {
    let mut router = Router::new(Settings::default(), 1);
    let in_force = ActiveConfig {
        version: ConfigVersion::new(1),
        deployment: Arc::new(deployment(workers)),
    };
    let backends: Vec<_> = in_force
        .deployment
        .backends
        .iter()
        .map(|b| b.id.clone())
        .collect();
    let mut out = Vec::new();
    let now = Instant::from_micros(1);
    router.step(now, Event::Config(Arc::new(in_force)), &mut out);
    for (backend, at) in backends.into_iter().zip(0_u32..) {
        let report = report(at % 8);
        router.step(now, Event::Report { backend, report }, &mut out);
    }
    router
}

fn request(id: u128, now: Instant) -> RoutingRequest {
    RoutingRequest {
        id: RequestId::new(id),
        fingerprint: Fingerprint::new(id),
        service: "chat".parse().expect("a name"),
        target: Target::Model {
            model: "m1".parse().expect("a name"),
            adapter: None,
        },
        priority: Priority::new(1),
        deadline: Deadline::after(now, Micros::from_secs(60)),
        idempotent: true,
        prompt_tokens: 600,
        output_tokens: 100,
        prefixes: vec![1, 2, 3, 4],
        forwarded: false,
        options: route::RequestOptions::default(),
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    group
        .measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(500));
    for workers in [8, 27, 108, 432] {
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            let mut router = router(workers);
            let mut out = Vec::new();
            let mut micros = 1;
            b.iter(|| {
                micros += 100;
                let now = Instant::from_micros(micros);
                out.clear();
                let request = request(u128::from(micros), now);
                let id = request.id;
                router.step(now, Event::Arrive(request), &mut out);
                black_box(&out);
                let done = Event::Finished {
                    id,
                    tokens: 100,
                    ok: true,
                    is_harmless: true,
                };
                router.step(now, done, &mut out);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
