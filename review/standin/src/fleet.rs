//! Starts a small deployment: three control processes and three routers, with the commands and
//! the settings templates of the deploy file, and a stand-in for the platform's list.

use crate::http::{self, call};
use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["dk-east-a", "dk-east-b", "dk-east-c"];
const REGION: &str = "dk-east";
pub const FRONT: u16 = 18_783;
const READY: u16 = 18_780;
const CONTROL: u16 = 18_785;
const LINK: u16 = 17_400;
const OPERATORS: u16 = 17_401;
const PLATFORM: u16 = 18_781;
pub const REPLICA: u16 = 18_100;

/// A replica as the platform lists it.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
}

pub struct Fleet {
    pub folder: PathBuf,
    net: (u8, u8),
    children: Vec<(String, Child)>,
    list: Arc<Mutex<Vec<Listed>>>,
}

impl Fleet {
    /// Starts all processes. `Err` says why the fleet could not be started.
    pub fn start() -> Result<Self, String> {
        let net = free_network().ok_or("no free loopback addresses")?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut fleet = Fleet {
            folder,
            net,
            children: Vec::new(),
            list: Arc::default(),
        };
        fleet.serve_list()?;
        for number in 0..3 {
            let name = format!("control-{number}");
            fleet.run(&name, "deploy/control.ini", fleet.core(number), number)?;
        }
        for number in 0..3 {
            let name = format!("router-{number}");
            fleet.run(&name, "deploy/router.ini", fleet.front(number), number)?;
        }
        Ok(fleet)
    }

    pub fn address(&self, group: u8, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net.0, self.net.1, group * 20 + host + 1);
        SocketAddr::new(ip.into(), port)
    }

    fn core(&self, number: u8) -> SocketAddr {
        self.address(0, number, CONTROL)
    }

    fn front(&self, number: u8) -> SocketAddr {
        self.address(1, number, FRONT)
    }

    /// Address for clients of a router.
    pub fn router(&self, number: usize) -> SocketAddr {
        self.front(u8::try_from(number).unwrap_or(0))
    }

    pub fn set_list(&self, listed: Vec<Listed>) {
        *self.list.lock().unwrap() = listed;
    }

    /// Starts a process with the command of the deploy file and its settings template.
    fn run(&mut self, name: &str, template: &str, at: SocketAddr, zone: u8) -> Result<(), String> {
        let text = fs::read_to_string(template).map_err(|e| format!("{template}: {e}"))?;
        let settings = self.folder.join(format!("{name}.json"));
        let data = self.folder.join(format!("{name}-data"));
        let text = self.render(&text, at, usize::from(zone), &data.display().to_string());
        fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = File::create(self.folder.join(format!("{name}.log")));
        let log = log.map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new("target/release/cowslipford")
            .arg("run")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("target/release/cowslipford: {e}"))?;
        self.children.push((name.to_owned(), child));
        Ok(())
    }

    /// Fills in a template as the platform does, with the values of the small site.
    fn render(&self, text: &str, at: SocketAddr, zone: usize, data: &str) -> String {
        let seeds: Vec<String> = (0..3).map(|n| self.core(n).to_string()).collect();
        let values = [
            ("zone", ZONES[zone].to_owned()),
            ("region", REGION.to_owned()),
            ("ip", at.ip().to_string()),
            ("seed_nodes", seeds.join(",")),
            ("first_start", "true".to_owned()),
            ("data_directory", data.to_owned()),
            ("internal_port_range.0", LINK.to_string()),
            ("internal_port_range.1", OPERATORS.to_string()),
            ("listen.front", SocketAddr::new(at.ip(), FRONT).to_string()),
            ("listen.ready", SocketAddr::new(at.ip(), READY).to_string()),
            (
                "listen.control",
                SocketAddr::new(at.ip(), CONTROL).to_string(),
            ),
            ("cloud.address", self.address(2, 0, PLATFORM).to_string()),
            ("fault_tolerance.machines", "1".to_owned()),
            ("limits.memory_mb", "256".to_owned()),
            ("limits.file_descriptors", "4096".to_owned()),
            ("bounds.grace_period_s", "8".to_owned()),
            ("bounds.revocation_ms", "5000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_extra", "52".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
        ];
        let mut text = text.to_owned();
        if let (Some(from), Some(to)) = (text.find("{{#zones}}"), text.find("{{/zones}}")) {
            let inner = text[from + "{{#zones}}".len()..to].to_owned();
            let each = ZONES
                .iter()
                .map(|z| inner.replace("{{@}}", z).replace("{{.}}", REGION));
            let all: String = each.collect();
            text.replace_range(from..to + "{{/zones}}".len(), &all);
        }
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        text
    }

    /// Serves the platform's list on one page.
    fn serve_list(&self) -> Result<(), String> {
        let listener = TcpListener::bind(self.address(2, 0, PLATFORM));
        let listener = listener.map_err(|e| format!("the platform's list: {e}"))?;
        let list = self.list.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                std::thread::spawn(move || {
                    let Ok(mut writer) = stream.try_clone() else {
                        return;
                    };
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(_)) = http::read(&mut reader) {
                        let body = list_page(&list.lock().unwrap());
                        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
                        let length = body.len();
                        let page = format!("{head}Content-Length: {length}\r\n\r\n{body}");
                        if writer.write_all(page.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    /// Sends a config until it is acknowledged, to one control process after the other.
    pub fn put(&self, config: &str) -> Result<(), String> {
        let head = "PUT /configuration HTTP/1.1\r\nHost: control\r\nContent-Type: application/json";
        let length = config.len();
        let request = format!("{head}\r\nContent-Length: {length}\r\n\r\n{config}");
        let began = Instant::now();
        let mut last = String::new();
        for number in (0..3).cycle() {
            let answer = call(
                self.core(number),
                request.as_bytes(),
                Duration::from_secs(3),
            );
            match answer {
                Ok(answer) if answer.status() == 200 => return Ok(()),
                Ok(answer) => last = answer.first,
                Err(error) => last = error.to_string(),
            }
            if began.elapsed() > Duration::from_secs(20) {
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("the config was not acknowledged: {last}"))
    }

    /// Waits until all routers report that they are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let began = Instant::now();
        for number in 0..3 {
            let ready = SocketAddr::new(self.router(number).ip(), READY);
            let request = b"GET /readiness HTTP/1.1\r\nHost: router\r\n\r\n";
            while !call(ready, request, Duration::from_secs(1)).is_ok_and(|a| a.status() == 200) {
                if began.elapsed() > Duration::from_secs(30) {
                    return Err(format!("router {number} is not ready"));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// Id of the process of a router.
    pub fn router_pid(&self, number: usize) -> Option<u32> {
        let name = format!("router-{number}");
        let found = self.children.iter().find(|(n, _)| *n == name);
        found.map(|(_, child)| child.id())
    }

    /// Whether a router has ended.
    pub fn has_ended(&mut self, number: usize) -> bool {
        self.ended().contains(&format!("router-{number}"))
    }

    /// Kills a router.
    pub fn kill(&mut self, number: usize) {
        let name = format!("router-{number}");
        if let Some((_, child)) = self.children.iter_mut().find(|(n, _)| *n == name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let all = self.children.iter_mut();
        let ended = all.filter_map(|(name, child)| match child.try_wait() {
            Ok(None) => None,
            _ => Some(name.clone()),
        });
        ended.collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
        }
        for (_, child) in &mut self.children {
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn list_page(listed: &[Listed]) -> String {
    let entries = listed.iter().zip(0..).map(|(l, n)| {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"id\":\"{}\"}}",
            l.service,
            l.address,
            ZONES[n % 3],
            l.slots,
            l.id
        )
    });
    let entries: Vec<String> = entries.collect();
    format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","))
}

/// Two middle bytes of loopback addresses on which all ports are free.
fn free_network() -> Option<(u8, u8)> {
    let pid = std::process::id();
    (0..200).find_map(|n| {
        let number = pid.wrapping_add(n * 37);
        // CAST: both are below 256.
        let net = (100 + (number % 100) as u8, (number / 100 % 250) as u8);
        let ip = |host: u8| Ipv4Addr::new(127, net.0, net.1, host);
        let ports = [FRONT, READY, CONTROL, OPERATORS, PLATFORM, REPLICA];
        let tcp = |host: u8| {
            ports
                .iter()
                .all(|p| TcpListener::bind((ip(host), *p)).is_ok())
        };
        let free = |host: u8| tcp(host) && UdpSocket::bind((ip(host), LINK)).is_ok();
        [1, 2, 3, 21, 22, 23, 41, 61, 62, 63]
            .into_iter()
            .all(free)
            .then_some(net)
    })
}
