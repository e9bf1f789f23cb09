//! Executes the owner's orders: load, unload, change of role.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use hyper::Method;
use state::view;
use tokio::sync::OnceCell;
use wire::endpoint::Action;
use wire::endpoint::Model;
use wire::endpoint::Order;
use wire::endpoint::Reason;

use crate::clock;
use crate::engine::shared::Shared;
use crate::engine::shared::Slot;
use crate::record::Change;
use crate::record::Kind;
use crate::record::Status;
use crate::service::refusal;

/// Request timeout of the weight store.
const STORE_TIMEOUT: Duration = Duration::from_secs(60);

/// The outcome of an order, kept so that a repeated order is not executed again.
pub(crate) type Outcome = Arc<OnceCell<Result<(), Reason>>>;

pub(crate) async fn order(State(shared): State<Arc<Shared>>, Json(order): Json<Order>) -> Response {
    if let Err(reason) = shared.check_fence(order.fence, "order") {
        return refusal(reason);
    }
    let cell = shared.inner.lock().orders.entry(order.id.clone()).or_default().clone();
    let executor = shared.clone();
    let work = async move { *cell.get_or_init(|| execute(&executor, order.action)).await };
    // A separate task, so that the order completes even if its sender closes the connection.
    let outcome = tokio::spawn(work).await;
    match outcome.unwrap_or(Err(Reason::LoadFailed)) {
        Ok(()) => Json(shared.state()).into_response(),
        Err(reason) => refusal(reason),
    }
}

async fn execute(shared: &Shared, action: Action) -> Result<(), Reason> {
    match action {
        Action::Load(model) => load(shared, model).await,
        Action::Unload(model) => unload(shared, &model),
        Action::Role(role) => change_role(shared, role),
    }
}

async fn load(shared: &Shared, model: Model) -> Result<(), Reason> {
    let mut loads = shared.loads.subscribe();
    if !reserve(shared, &model)? {
        return wait_for_load(shared, &model, &mut loads).await;
    }
    let start_ms = clock::now();
    let generation = shared.inner.lock().recorder.generation();
    let fetched = fetch(shared, &model).await;
    let mut inner = shared.inner.lock();
    if inner.recorder.generation() != generation {
        return Err(Reason::LoadFailed);
    }
    let end = if fetched { Status::Complete } else { Status::Failed };
    if fetched {
        inner.slots.insert(model.clone(), Slot { loaded: true, users: 0 });
    } else {
        inner.slots.remove(&model);
    }
    inner.recorder.record_change(Change { model, load: true, start_ms, end_ms: clock::now(), end });
    drop(inner);
    shared.loads.send_modify(|count| *count += 1);
    if fetched { Ok(()) } else { Err(Reason::LoadFailed) }
}

/// Reserves a slot for a load; returns `false` if the adapter has one already.
fn reserve(shared: &Shared, model: &Model) -> Result<bool, Reason> {
    let mut inner = shared.inner.lock();
    if inner.slots.contains_key(model) {
        return Ok(false);
    }
    let view::Role::Engine { slots, .. } = &inner.role else { return Err(Reason::NoSlot) };
    if inner.slots.len() >= *slots as usize {
        return Err(Reason::NoSlot);
    }
    inner.slots.insert(model.clone(), Slot::default());
    Ok(true)
}

/// Waits until a concurrent order has loaded the same adapter.
async fn wait_for_load(
    shared: &Shared,
    model: &Model,
    loads: &mut tokio::sync::watch::Receiver<u64>,
) -> Result<(), Reason> {
    loop {
        let slot = shared.inner.lock().slots.get(model).copied();
        match slot {
            Some(slot) if slot.loaded => return Ok(()),
            Some(_) => loads.changed().await.map_err(|_| Reason::LoadFailed)?,
            None => return Err(Reason::LoadFailed),
        }
    }
}

/// Fetches the weights; returns whether that succeeded.
async fn fetch(shared: &Shared, model: &Model) -> bool {
    let fails = shared.injector.should_inject(|faults| faults.load_fail_percent);
    if fails {
        tokio::time::sleep(shared.settings.load_time / 2).await;
        return false;
    }
    let Some(store) = &shared.settings.store else {
        tokio::time::sleep(shared.settings.load_time).await;
        return true;
    };
    let path = format!("/v1/weights/{}/{}", model.adapter, model.version);
    let answer = shared.client.send(Method::GET, store, &path, "", STORE_TIMEOUT).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

fn unload(shared: &Shared, model: &Model) -> Result<(), Reason> {
    let mut inner = shared.inner.lock();
    let Some(slot) = inner.slots.get(model).copied() else { return Ok(()) };
    if slot.users > 0 {
        let what = format!("unload of {}@{} in use", model.adapter, model.version);
        inner.recorder.record_violation(Kind::UnloadInUse, what);
        return Err(Reason::InUse);
    }
    if !slot.loaded {
        return Err(Reason::InUse);
    }
    inner.slots.remove(model);
    let now = clock::now();
    let model = model.clone();
    let end = Status::Complete;
    inner.recorder.record_change(Change { model, load: false, start_ms: now, end_ms: now, end });
    Ok(())
}

fn change_role(shared: &Shared, role: view::Role) -> Result<(), Reason> {
    let mut inner = shared.inner.lock();
    if inner.slots.values().any(|slot| slot.users > 0) {
        return Err(Reason::InUse);
    }
    inner.slots.clear();
    inner.role = role;
    Ok(())
}
