//! Sends requests and jobs through entry, owner, gate and target.

use http::Method;
use winghold::client::EntryClient;
use winghold::error::Result;
use winghold::local::{LocalFleet, LocalOptions};
use winghold::logging;

const CONFIG: &str = include_str!("../examples/logger-intake.yaml");
const REQUESTS: &str = "/v1/services/logger-intake/requests";
const JOBS: &str = "/v1/services/logger-intake/jobs";

fn fleet() -> LocalFleet {
    let options = LocalOptions {
        targets: 3,
        ..LocalOptions::default()
    };
    LocalFleet::start(CONFIG, options, logging::discard()).expect("the fleet starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_and_jobs_get_complete_answers() -> Result<()> {
    let fleet = tokio::task::spawn_blocking(fleet)
        .await
        .expect("the fleet starts");
    fleet.wait_until_ready().await?;
    let first = EntryClient::new(fleet.entries[0].addr);
    let reply = first
        .call(Method::POST, REQUESTS, &[], r#"{"run_ms":5,"n":7}"#)
        .await?;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.json()["echo"]["n"], 7);
    let job = r#"{"tasks":[{"n":0},{"n":1},{"n":2}]}"#;
    let reply = first.call(Method::POST, JOBS, &[], job).await?;
    let results = &reply.json()["results"];
    for index in 0..3 {
        assert_eq!(results[index]["echo"]["n"], index);
    }
    assert_eq!(fleet.starts.all().len(), 4);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resubmission_through_another_entry_gets_the_same_answer_without_a_second_start()
-> Result<()> {
    let fleet = tokio::task::spawn_blocking(fleet)
        .await
        .expect("the fleet starts");
    fleet.wait_until_ready().await?;
    let clients = [0, 1].map(|index| EntryClient::new(fleet.entries[index].addr));
    let id = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", id.as_str())];
    let body = r#"{"run_ms":200}"#;
    let [first, second] = clients
        .each_ref()
        .map(|client| client.call(Method::POST, REQUESTS, &headers, body));
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first?.body, second?.body);
    let again = clients[1]
        .call(Method::POST, REQUESTS, &headers, body)
        .await?;
    assert_eq!(again.status, 200);
    assert_eq!(fleet.starts.all().len(), 1);
    let other = clients[0]
        .call(Method::POST, REQUESTS, &headers, r#"{"run_ms":1}"#)
        .await?;
    assert_eq!(other.json()["name"], "ID_REUSED");
    Ok(())
}
