//! Tests of the scheduling decisions, one module per topic.

mod admission;
mod answer_times;
mod cold;
mod coordinator;
mod dispatch;
mod distance;
mod evacuated_zones;
mod fixture;
mod grants;
mod homes;
mod item_growth;
mod item_pace;
mod large_services;
mod limits;
mod placement;
mod quota;
mod reason;
mod replica_health;
mod retry;
mod router;
mod router_evacuation;
mod silence;
mod starts;
mod streams;
mod work_calls;
mod yielding;
