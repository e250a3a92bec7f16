//! The real programs as plain processes: two entries, three agents, stand-ins.

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
const LIMIT: Duration = Duration::from_secs(30);
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

/// A program that is killed when the test ends.
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
            .expect("it prints a line");
        assert!(ready.starts_with("ready "), "{program} {args:?}: {ready}");
        Process { child, ready }
    }

    /// The address after `key=` in its ready line.
    fn addr(&self, key: &str) -> String {
        let words = self.ready.split_whitespace();
        let value = words
            .filter_map(|word| word.strip_prefix(&format!("{key}=")))
            .next();
        value
            .expect("the key is there")
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

    /// Waits for its end; gives whether it ended well.
    fn ended_well(&mut self) -> bool {
        let until = Instant::now() + LIMIT;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().expect("it can be waited for") {
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
        let dir = TempDir::new().expect("a directory");
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
            .expect("an address")
    }

    fn client(&self, index: usize) -> EntryClient {
        EntryClient::new(self.entry(index))
    }

    async fn ready(&self) {
        for index in 0..2 {
            let client = self.client(index);
            until(async || {
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

    /// Requests to entry 1 until `stop` is set; gives how many, and failures.
    fn load(&self, entry: usize) -> Load {
        let client = self.client(entry);
        let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
        let flag = stop.clone();
        let task = tokio::spawn(async move {
            let mut failures = Vec::new();
            let mut count = 0;
            while !flag.load(std::sync::atomic::Ordering::Relaxed) {
                let calls = (0..6).map(|_| client.call(Method::POST, REQUESTS, &[], SHORT));
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

const SHORT: &str = r#"{"run_ms":30}"#;

struct Load {
    stop: std::sync::Arc<std::sync::atomic::AtomicBool>,
    task: tokio::task::JoinHandle<(usize, Vec<String>)>,
}

impl Load {
    async fn end(self) -> (usize, Vec<String>) {
        self.stop.store(true, std::sync::atomic::Ordering::Relaxed);
        self.task.await.expect("the load runs")
    }
}

fn failure(reply: winghold::error::Result<EntryReply>) -> Option<String> {
    match reply {
        Ok(reply) if reply.status == 200 => None,
        Ok(reply) => Some(reply.json().to_string()),
        Err(err) => Some(err.to_string()),
    }
}

/// Only the first agent is in the other failure domain.
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

async fn until(mut check: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !check().await {
        assert!(Instant::now() < end, "it does not come about");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    out + &String::from_utf8_lossy(&output.stderr)
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_and_operators_get_what_they_ask_for() {
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

    let why = fleet.winghold(&["query", &format!("why {id}")]);
    assert!(text(&why).contains("placed"), "{}", text(&why));
    let submitted = fleet.winghold(&["submit", "s", "--kind", "once", SHORT]);
    assert!(submitted.status.success(), "{}", text(&submitted));
    let unfit = fleet.winghold(&["submit", "s", "--kind", "heavy", SHORT]);
    assert_eq!(unfit.status.code(), Some(5), "{}", text(&unfit));
    assert!(text(&unfit).contains("CANNOT_RUN"), "{}", text(&unfit));
    let wrong = fleet.winghold(&["query", "select x frm y"]);
    assert_eq!(wrong.status.code(), Some(2));
    assert!(text(&wrong).contains("column 10"));

    let job = r#"{"tasks":[{"run_ms":3000},{"run_ms":3000}]}"#;
    let path = format!("{JOBS}?wait=false");
    let started = clients[0]
        .call(Method::POST, &path, &[], job)
        .await
        .expect("answered");
    assert_eq!(started.status, 202, "{:?}", started.json());
    let id = started.json()["id"].as_str().expect("an id").to_string();
    for _ in 0..2 {
        let cancelled = fleet.winghold(&["cancel", &id]);
        assert!(
            text(&cancelled).contains("CANCELLED"),
            "{}",
            text(&cancelled)
        );
    }
    let path = format!("/v1/jobs/{id}");
    let looked = clients[1]
        .call(Method::GET, &path, &[], "")
        .await
        .expect("answered");
    assert_eq!(looked.json()["name"], "CANCELLED");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_everywhere_and_a_race_has_one_winner() {
    let fleet = Fleet::start();
    fleet.ready().await;
    let path = write(&fleet.dir, "new.yaml", &format!("{CONFIG}\n# raised\n"));
    let first = fleet.winghold(&["config", "apply", &path, "--base", "1"]);
    let second = fleet.winghold(&["config", "apply", &path, "--base", "1"]);
    assert!(first.status.success(), "{}", text(&first));
    assert_eq!(second.status.code(), Some(4), "{}", text(&second));
    until(async || {
        let rows = fleet.winghold(&["--output", "json", "query", "select config from members"]);
        text(&rows).matches("\"config\": 2").count() == 4
    })
    .await;
    let history = fleet.winghold(&["config", "history"]);
    assert!(text(&history).contains("+# raised"), "{}", text(&history));
    let bad = write(
        &fleet.dir,
        "bad.yaml",
        "regions: []\nsurvices: []\nservices: []\n",
    );
    let checked = fleet.winghold(&["config", "check", &bad]);
    assert_eq!(checked.status.code(), Some(2));
    assert!(
        text(&checked).contains("survices: unknown key"),
        "{}",
        text(&checked)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn drains_and_stops_under_load_fail_no_request() {
    let mut fleet = Fleet::start();
    fleet.ready().await;
    let load = fleet.load(1);
    let drained = fleet.winghold(&["drain", "agent-0", "--note", "test"]);
    assert!(drained.status.success(), "{}", text(&drained));
    until(async || {
        let query = "select name from targets where drained = true and running = 0";
        text(&fleet.winghold(&["query", query])).contains("agent-0")
    })
    .await;
    assert!(fleet.winghold(&["undrain", "agent-0"]).status.success());
    fleet.agents[2].terminate();
    assert!(fleet.agents[2].ended_well(), "the agent does not stop");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (count, failures) = load.end().await;
    assert!(count > 20, "{count} requests");
    assert!(failures.is_empty(), "{failures:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_failure_domain_gets_no_new_work_until_it_is_taken_back() {
    let fleet = Fleet::start();
    fleet.ready().await;
    let unknown = fleet.winghold(&["evacuate", "nowhere"]);
    assert!(!unknown.status.success(), "no such domain");
    let load = fleet.load(1);
    let evacuated = fleet.winghold(&["evacuate", "b", "--note", "test"]);
    assert!(evacuated.status.success(), "{}", text(&evacuated));
    until(async || {
        let query = "select name from targets where evacuated = true and running = 0";
        text(&fleet.winghold(&["query", query])).contains("agent-0")
    })
    .await;
    let history = text(&fleet.winghold(&["config", "history"]));
    assert!(history.contains("evacuated"), "{history}");
    assert!(fleet.winghold(&["unevacuate", "b"]).status.success());
    until(async || {
        let query = "select name from targets where evacuated = false";
        text(&fleet.winghold(&["query", query])).contains("agent-0")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (count, failures) = load.end().await;
    assert!(count > 20, "{count} requests");
    assert!(failures.is_empty(), "{failures:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_answers_what_is_under_way() {
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
        .expect("the calls run")
        .into_iter()
        .filter_map(failure)
        .collect();
    assert!(failures.is_empty(), "{failures:?}");
    assert!(fleet.entries[0].ended_well(), "the entry does not stop");
}

/// Path, headers and body of a bad request; status and field of its answer.
type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_clear_answer_and_harms_nobody() {
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
    assert!(raw(addr, slow).starts_with("HTTP/1.1 408"), "a slow body");
    let headers: String = (0..40).map(|n| format!("x-{n}: 1\r\n")).collect();
    let many = format!("GET /v1/ready HTTP/1.1\r\n{headers}\r\n");
    assert!(
        raw(addr, &many).starts_with("HTTP/1.1 431"),
        "too many headers"
    );
    assert!(
        raw(addr, "nonsense\r\n\r\n").starts_with("HTTP/1.1 400"),
        "no HTTP"
    );
    let reply = client
        .call(Method::POST, REQUESTS, &[], SHORT)
        .await
        .expect("answered");
    assert_eq!(reply.status, 200);
}

/// Sends bytes and reads until the connection closes or nothing more comes.
fn raw(addr: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("it connects");
    stream
        .set_read_timeout(Some(Duration::from_secs(3)))
        .expect("a limit");
    stream.write_all(bytes.as_bytes()).expect("it is sent");
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
