//! The links between the hosts of a test site, each through the fault-injecting proxy.
//!
//! A link between hosts is named `FROM-TO-SERVER`, with the numbers of the hosts: `1-2-keeper`, `1-2-peer`,
//! `1-2-relay`. A link to an endpoint is named `endpoint-NAME`.

use std::path::Path;

use base::Map;
use base::Name;
use conf::Config;
use serde_json::Value;
use serde_json::json;

use crate::address::Pool;

/// The links of a site.
pub struct Network {
    /// The address of the proxy's control API.
    pub control: String,
    /// The address that endpoints announce, by process name.
    pub advertised: Map<String, String>,
    links: Vec<Value>,
}

impl Network {
    /// Defines the links of a site and returns the settings of each host, in which the other hosts are
    /// reached through links.
    pub fn new(
        config: &Config,
        endpoints: &Map<String, String>,
        pool: &mut Pool,
    ) -> (Network, Vec<Config>) {
        let control = pool.allocate();
        let mut network = Network { control, advertised: Map::default(), links: Vec::new() };
        let configs = (0..config.entries.len()).map(|host| network.host_config(config, host, pool));
        let configs = configs.collect();
        for (name, address) in endpoints {
            let listen = pool.allocate();
            network.add_link(format!("endpoint-{name}"), &listen, address);
            network.advertised.insert(name.clone(), listen);
        }
        (network, configs)
    }

    /// Returns the settings of one host, in which the other hosts are reached through links.
    fn host_config(&mut self, config: &Config, host: usize, pool: &mut Pool) -> Config {
        let mut host_config = config.clone();
        for (other, entry) in host_config.entries.iter_mut().enumerate() {
            if other == host {
                continue;
            }
            let servers = [
                ("keeper", &mut entry.keeper),
                ("peer", &mut entry.peer),
                ("relay", &mut entry.relay),
            ];
            for (server, address) in servers {
                let listen = pool.allocate();
                self.add_link(format!("{}-{}-{server}", host + 1, other + 1), &listen, address);
                *address = Name::from(listen);
            }
        }
        host_config
    }

    fn add_link(&mut self, name: String, listen: &str, to: &str) {
        self.links.push(json!({"name": name, "listen": listen, "to": to}));
    }

    /// Writes the settings file of the proxy.
    pub fn write(&self, path: &Path) {
        let settings = json!({"control": self.control, "links": self.links});
        std::fs::write(path, settings.to_string()).expect("the settings file can be written");
    }
}
