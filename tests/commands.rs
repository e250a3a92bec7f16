//! Tests the built programs as separate processes: two entries, three agents, and stand-ins
//! for the store and the targets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use http::Method;
use tempfile::TempDir;
use winghold::client::{EntryClient, EntryReply};

const WINGHOLD: &str = env!("CARGO_BIN_EXE_winghold");
const ENTRY: &str = env!("CARGO_BIN_EXE_winghold-entry");
const AGENT: &str = env!("CARGO_BIN_EXE_winghold-agent");
const REQUESTS: &str = "/v1/services/s/requests";
const JOBS: &str = "/v1/services/s/jobs";
const TIMEOUT: Duration = Duration::from_secs(30);
const CONFIG: &str = "
regions: [{ name: r, failure_domains: [a, b] }]
services:
  - name: s
    kinds:
      - { name: once, priority: 0, expected_ms: 20 }
      - { name: heavy, priority: 0, accelerators: 4 }
limits: { body_bytes: 2000, headers: 20, body_ms: 500, header_ms: 500, job_tasks: 10 }
ownership: { ranges: 8, lease_ms: 1500, skew_ms: 100 }
";

/// A child process that is killed on drop.
struct Process {
    child: Child,
    ready: String,
}

impl Process {
    fn start(program: &str, args: &[&str]) -> Process {
        let mut child = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let mut ready = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        BufReader::new(stdout)
            .read_line(&mut ready)
            .expect("the program prints a line");
        assert!(ready.starts_with("ready "), "{program} {args:?}: {ready}");
        Process { child, ready }
    }

    /// Address after `key=` in the ready line.
    fn addr(&self, key: &str) -> String {
        let words = self.ready.split_whitespace();
        let value = words
            .filter_map(|word| word.strip_prefix(&format!("{key}=")))
            .next();
        value
            .expect("the ready line has the key")
            .trim_start_matches("http://")
            .to_string()
    }

    fn terminate(&self) {
        let pid = self.child.id().to_string();
        Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .expect("kill runs");
    }

    /// Waits for the process to exit; whether it exited successfully within `TIMEOUT`.
    fn exits_successfully(&mut self) -> bool {
        let until = Instant::now() + TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Fleet {
    agents: Vec<Process>,
    entries: Vec<Process>,
    dir: TempDir,
    _standin: Process,
}

impl Fleet {
    fn start() -> Fleet {
        let dir = TempDir::new().expect("a temporary directory");
        let config = write(&dir, "config.yaml", CONFIG);
        let free = "127.0.0.1:0";
        let mut args = vec!["standin", "--store", free, "--config", &config];
        (0..3).for_each(|_| args.extend(["--target", free]));
        let standin = Process::start(WINGHOLD, &args);
        let store = standin.addr("store");
        let targets = standin.addr("targets");
        let agents = targets.split(',').enumerate().map(|(index, target)| {
            let process = process(&format!("agent-{index}"), &store);
            let text = format!("{process}service: s\ntarget: {target}\nslots: 4\n");
            let path = write(&dir, &format!("agent-{index}.yaml"), &text);
            Process::start(AGENT, &["--settings", &path])
        });
        let agents = agents.collect();
        let entries = (0..2).map(|index| {
            let process = process(&format!("entry-{index}"), &store);
            let text = format!("{process}http_listen: 127.0.0.1:0\n");
            let path = write(&dir, &format!("entry-{index}.yaml"), &text);
            Process::start(ENTRY, &["--settings", &path])
        });
        let entries = entries.collect();
        Fleet {
            agents,
            entries,
            dir,
            _standin: standin,
        }
    }

    fn entry(&self, index: usize) -> SocketAddr {
        self.entries[index]
            .addr("http")
            .parse()
            .expect("a valid address")
    }

    fn client(&self, index: usize) -> EntryClient {
        EntryClient::new(self.entry(index))
    }

    async fn ready(&self) {
        for index in 0..2 {
            let client = self.client(index);
            wait_until(async || {
                let rows = client
                    .call(Method::GET, "/v1/operator/tables/ranges", &[], "")
                    .await;
                let rows = rows.map(|reply| reply.json()).unwrap_or_default();
                let rows = rows.as_array().cloned().unwrap_or_default();
                let owners: std::collections::HashSet<String> =
                    rows.iter().map(|row| row["owner"].to_string()).collect();
                owners.len() == 3 && rows.iter().all(|row| row["state"] == "active")
            })
            .await;
        }
    }

    fn winghold(&self, args: &[&str]) -> Output {
        let entry = self.entry(0).to_string();
        let command = Command::new(WINGHOLD)
            .args(["--entry", &entry])
            .args(args)
            .output();
        command.expect("the command runs")
    }

    /// Sends requests to `entry` until stopped; counts them and collects failures.
    fn load(&self, entry: usize) -> Load {
        let client = self.client(entry);
        let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
        let flag = stop.clone();
        let task = tokio::spawn(async move {
            let mut failures = Vec::new();
            let mut count = 0;
            while !flag.load(std::sync::atomic::Ordering::Relaxed) {
                let calls = (0..6).map(|_| client.call(Method::POST, REQUESTS, &[], SHORT_TASK));
                for reply in futures_util::future::join_all(calls).await {
                    count += 1;
                    failures.extend(failure(reply));
                }
            }
            (count, failures)
        });
        Load { stop, task }
    }
}

const SHORT_TASK: &str = r#"{"run_ms":30}"#;

struct Load {
    stop: std::sync::Arc<std::sync::atomic::AtomicBool>,
    task: tokio::task::JoinHandle<(usize, Vec<String>)>,
}

impl Load {
    async fn end(self) -> (usize, Vec<String>) {
        self.stop.store(true, std::sync::atomic::Ordering::Relaxed);
        self.task.await.expect("the load task completes")
    }
}

fn failure(reply: winghold::error::Result<EntryReply>) -> Option<String> {
    match reply {
        Ok(reply) if reply.status == 200 => None,
        Ok(reply) => Some(reply.json().to_string()),
        Err(err) => Some(err.to_string()),
    }
}

/// Process settings; only the first agent is in failure domain `b`.
fn process(name: &str, store: &str) -> String {
    let domain = if name == "agent-0" { "b" } else { "a" };
    format!(
        "process:\n  name: {name}\n  failure_domain: {domain}\n  peer_listen: 127.0.0.1:0\n  \
         store: {store}\n  log: error\n"
    )
}

fn write(dir: &TempDir, name: &str, text: &str) -> String {
    let path = dir.path().join(name);
    std::fs::write(&path, text).expect("the file is written");
    path.to_string_lossy().into_owned()
}

async fn wait_until(mut check: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !check().await {
        assert!(Instant::now() < end, "condition not met within {TIMEOUT:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn output_text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    out + &String::from_utf8_lossy(&output.stderr)
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_jobs_queries_and_cancels_get_their_answers() {
    let fleet = Fleet::start();
    fleet.ready().await;
    let id = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", id.as_str())];
    let slow = r#"{"run_ms":150}"#;
    let clients = [fleet.client(0), fleet.client(1)];
    let one = clients[0].call(Method::POST, REQUESTS, &headers, slow);
    let two = clients[1].call(Method::POST, REQUESTS, &headers, slow);
    let (one, two) = tokio::join!(one, two);
    assert_eq!(one.expect("answered").body, two.expect("answered").body);

    let explained = fleet.winghold(&["query", &format!("why {id}")]);
    assert!(
        output_text(&explained).contains("placed"),
        "{}",
        output_text(&explained)
    );
    let submitted = fleet.winghold(&["submit", "s", "--kind", "once", SHORT_TASK]);
    assert!(submitted.status.success(), "{}", output_text(&submitted));
    let unfit = fleet.winghold(&["submit", "s", "--kind", "heavy", SHORT_TASK]);
    assert_eq!(unfit.status.code(), Some(5), "{}", output_text(&unfit));
    assert!(
        output_text(&unfit).contains("CANNOT_RUN"),
        "{}",
        output_text(&unfit)
    );
    let wrong = fleet.winghold(&["query", "select x frm y"]);
    assert_eq!(wrong.status.code(), Some(2));
    assert!(output_text(&wrong).contains("column 10"));

    let job = r#"{"tasks":[{"run_ms":3000},{"run_ms":3000}]}"#;
    let path = format!("{JOBS}?wait=false");
    let started = clients[0]
        .call(Method::POST, &path, &[], job)
        .await
        .expect("answered");
    assert_eq!(started.status, 202, "{:?}", started.json());
    let id = started.json()["id"]
        .as_str()
        .expect("the answer has an id")
        .to_string();
    for _ in 0..2 {
        let cancelled = fleet.winghold(&["cancel", &id]);
        assert!(
            output_text(&cancelled).contains("CANCELLED"),
            "{}",
            output_text(&cancelled)
        );
    }
    let path = format!("/v1/jobs/{id}");
    let found = clients[1]
        .call(Method::GET, &path, &[], "")
        .await
        .expect("answered");
    assert_eq!(found.json()["name"], "CANCELLED");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_reaches_all_processes_and_a_concurrent_change_is_refused() {
    let fleet = Fleet::start();
    fleet.ready().await;
    let path = write(&fleet.dir, "new.yaml", &format!("{CONFIG}\n# raised\n"));
    let first = fleet.winghold(&["config", "apply", &path, "--base", "1"]);
    let second = fleet.winghold(&["config", "apply", &path, "--base", "1"]);
    assert!(first.status.success(), "{}", output_text(&first));
    assert_eq!(second.status.code(), Some(4), "{}", output_text(&second));
    wait_until(async || {
        let rows = fleet.winghold(&["--output", "json", "query", "select config from members"]);
        output_text(&rows).matches("\"config\": 2").count() == 4
    })
    .await;
    let history = fleet.winghold(&["config", "history"]);
    assert!(
        output_text(&history).contains("+# raised"),
        "{}",
        output_text(&history)
    );
    let bad = write(
        &fleet.dir,
        "bad.yaml",
        "regions: []\nsurvices: []\nservices: []\n",
    );
    let checked = fleet.winghold(&["config", "check", &bad]);
    assert_eq!(checked.status.code(), Some(2));
    assert!(
        output_text(&checked).contains("survices: unknown key"),
        "{}",
        output_text(&checked)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_fails_while_agents_drain_and_stop_under_load() {
    let mut fleet = Fleet::start();
    fleet.ready().await;
    let load = fleet.load(1);
    let drained = fleet.winghold(&["drain", "agent-0", "--note", "test"]);
    assert!(drained.status.success(), "{}", output_text(&drained));
    wait_until(async || {
        let query = "select name from targets where drained = true and running = 0";
        output_text(&fleet.winghold(&["query", query])).contains("agent-0")
    })
    .await;
    assert!(fleet.winghold(&["undrain", "agent-0"]).status.success());
    fleet.agents[2].terminate();
    assert!(
        fleet.agents[2].exits_successfully(),
        "the agent did not exit successfully"
    );
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (count, failures) = load.end().await;
    assert!(count > 20, "{count} requests");
    assert!(failures.is_empty(), "{failures:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_failure_domain_becomes_idle_without_failing_requests() {
    let fleet = Fleet::start();
    fleet.ready().await;
    let unknown = fleet.winghold(&["evacuate", "nowhere"]);
    assert!(
        !unknown.status.success(),
        "evacuating an unknown failure domain must fail"
    );
    let load = fleet.load(1);
    let evacuated = fleet.winghold(&["evacuate", "b", "--note", "test"]);
    assert!(evacuated.status.success(), "{}", output_text(&evacuated));
    wait_until(async || {
        let query = "select name from targets where evacuated = true and running = 0";
        output_text(&fleet.winghold(&["query", query])).contains("agent-0")
    })
    .await;
    let history = output_text(&fleet.winghold(&["config", "history"]));
    assert!(history.contains("evacuated"), "{history}");
    assert!(fleet.winghold(&["unevacuate", "b"]).status.success());
    wait_until(async || {
        let query = "select name from targets where evacuated = false";
        output_text(&fleet.winghold(&["query", query])).contains("agent-0")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (count, failures) = load.end().await;
    assert!(count > 20, "{count} requests");
    assert!(failures.is_empty(), "{failures:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_answers_its_open_requests() {
    let mut fleet = Fleet::start();
    fleet.ready().await;
    let client = fleet.client(0);
    let slow = r#"{"run_ms":1500}"#;
    let calls = tokio::spawn(async move {
        let calls = (0..8).map(|_| client.call(Method::POST, REQUESTS, &[], slow));
        futures_util::future::join_all(calls).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.entries[0].terminate();
    let failures: Vec<String> = calls
        .await
        .expect("the calls complete")
        .into_iter()
        .filter_map(failure)
        .collect();
    assert!(failures.is_empty(), "{failures:?}");
    assert!(
        fleet.entries[0].exits_successfully(),
        "the entry did not exit successfully"
    );
}

/// Path, headers and body of a bad request; expected status and field named in the answer.
type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_a_specific_error_and_leave_the_entry_working() {
    let fleet = Fleet::start();
    fleet.ready().await;
    let client = fleet.client(0);
    let long = format!("\"{}\"", "x".repeat(3_000));
    let many = format!("{{\"tasks\":[{}]}}", ["1"; 11].join(","));
    let cases: [Case<'_>; 9] = [
        (REQUESTS, &[], "{", 400, "body"),
        (REQUESTS, &[("idempotency-key", "7")], "{}", 400, "id"),
        (
            REQUESTS,
            &[("winghold-deadline-ms", "soon")],
            "{}",
            400,
            "winghold-deadline-ms",
        ),
        (REQUESTS, &[("winghold-kind", "nope")], "{}", 404, "kind"),
        (REQUESTS, &[("winghold-team", "nope")], "{}", 404, "team"),
        (REQUESTS, &[], &long, 413, "body"),
        (JOBS, &[], &many, 413, "tasks"),
        (JOBS, &[], r#"{"tasks":[],"x":1}"#, 400, "x"),
        ("/v1/services/nope/requests", &[], "{}", 404, "service"),
    ];
    for (path, headers, body, status, field) in cases {
        let reply = client
            .call(Method::POST, path, headers, body.to_string())
            .await;
        let reply = reply.expect("answered");
        let message = reply.json()["message"]
            .as_str()
            .unwrap_or_default()
            .to_string();
        assert_eq!(reply.status, status, "{path} {headers:?}: {message}");
        assert!(message.contains(field), "{path} {headers:?}: {message}");
        assert_eq!(reply.json()["effect"], "not_run");
    }
    let addr = fleet.entry(0);
    let slow = "POST /v1/services/s/requests HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{";
    assert!(
        send_raw(addr, slow).starts_with("HTTP/1.1 408"),
        "a slow body must get 408"
    );
    let headers: String = (0..40).map(|n| format!("x-{n}: 1\r\n")).collect();
    let many = format!("GET /v1/ready HTTP/1.1\r\n{headers}\r\n");
    assert!(
        send_raw(addr, &many).starts_with("HTTP/1.1 431"),
        "too many headers must get 431"
    );
    assert!(
        send_raw(addr, "nonsense\r\n\r\n").starts_with("HTTP/1.1 400"),
        "a malformed request must get 400"
    );
    let reply = client
        .call(Method::POST, REQUESTS, &[], SHORT_TASK)
        .await
        .expect("answered");
    assert_eq!(reply.status, 200);
}

/// Sends bytes and reads until the end of the response head, a read timeout or the end of
/// the connection.
fn send_raw(addr: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("the connection opens");
    stream
        .set_read_timeout(Some(Duration::from_secs(3)))
        .expect("the read timeout is set");
    stream
        .write_all(bytes.as_bytes())
        .expect("the bytes are sent");
    let mut reply = Vec::new();
    let mut buf = [0; 1_024];
    while let Ok(count) = stream.read(&mut buf) {
        if count == 0 {
            break;
        }
        reply.extend_from_slice(&buf[..count]);
        if reply.windows(4).any(|window| window == b"\r\n\r\n") {
            break;
        }
    }
    String::from_utf8_lossy(&reply).into_owned()
}
