//! Who is part of the local system, where each listens, and its settings file.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::addresses::loopback;
use super::written;
use crate::error::ConsoleError;

/// One zone for each relay and store.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// The address of the first relay; 127.0.0.1 is the stand-in's.
const FIRST_ADDRESS: u8 = 2;
/// The service whose hosts are stand-ins.
pub const SERVICE: &str = "echo";

/// A relay or a store.
#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    /// `relay` or `store`, as the command is called.
    pub role: &'static str,
    pub folder: PathBuf,
    zone: &'static str,
    address: u8,
    port: u16,
}

impl Node {
    fn at(&self, offset: u16) -> SocketAddr {
        SocketAddr::from((loopback(self.address), self.port + offset))
    }

    pub fn front(&self) -> SocketAddr {
        self.at(0)
    }

    pub fn readiness(&self) -> SocketAddr {
        self.at(1)
    }

    pub fn control(&self) -> SocketAddr {
        self.at(2)
    }

    pub fn is_relay(&self) -> bool {
        self.role == "relay"
    }

    pub fn settings(&self) -> PathBuf {
        self.folder.join("settings.toml")
    }

    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    pub fn data(&self) -> PathBuf {
        self.folder.join("data")
    }
}

/// The whole system.
#[derive(Debug)]
pub struct Layout {
    pub folder: PathBuf,
    pub nodes: Vec<Node>,
    port: u16,
}

impl Layout {
    pub fn new(folder: &Path, port: u16) -> Self {
        let roles = ["relay", "store"].into_iter().flat_map(|role| ZONES.map(|zone| (role, zone)));
        let node = |((role, zone), address)| {
            let name = format!("{role}-{zone}");
            Node { folder: folder.join(&name), name, role, zone, address, port }
        };
        Layout { folder: folder.to_owned(), nodes: roles.zip(FIRST_ADDRESS..).map(node).collect(), port }
    }

    pub fn relays(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.is_relay())
    }

    /// Where the stand-in of the platform tells the list.
    pub fn list(&self) -> SocketAddr {
        SocketAddr::from((loopback(1), self.port))
    }

    /// The stand-in hosts: identity, zone, address.
    pub fn hosts(&self) -> impl Iterator<Item = (String, &'static str, SocketAddr)> {
        let port = self.port;
        ZONES.into_iter().take(2).zip(1..).map(move |(zone, number)| {
            (format!("host-{number}"), zone, SocketAddr::from((loopback(1), port + number)))
        })
    }

    /// Writes the settings files.
    pub fn write(&self) -> Result<(), ConsoleError> {
        for node in &self.nodes {
            fs::create_dir_all(&node.folder).map_err(|error| written(&node.folder, error))?;
            let path = node.settings();
            fs::write(&path, self.settings(node)).map_err(|error| written(&path, error))?;
        }
        Ok(())
    }

    fn settings(&self, node: &Node) -> String {
        let seeds: Vec<String> = self.relays().map(|relay| format!("\"{}\"", relay.control())).collect();
        let (name, role, zone, data) = (&node.name, node.role, node.zone, node.data());
        let (ip, peers) = (loopback(node.address), self.port + 3);
        let mut text = format!(
            "nodeName = \"{name}\"\nrole = \"{role}\"\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"local\"\n\
             portRange = [{peers}, {peers}]\nseeds = [{}]\nbootstrap = {}\ncountsForQuorum = true\ndataDir = {data:?}\n",
            seeds.join(", "),
            node.is_relay(),
        );
        if node.is_relay() {
            text += &format!(
                "[bindAddrs]\nfront = \"{}\"\nreadiness = \"{}\"\ncontrol = \"{}\"\n",
                node.front(),
                node.readiness(),
                node.control()
            );
        }
        text += "[limits]\ncores = 1\nmemoryMb = 160\nmaxFds = 1024\ndiskMb = 256\n";
        text += "[faultTolerance]\nmachines = 1\n";
        text += &format!("[cloudApi]\naddress = \"{}\"\nratePerS = 20.0\nlagMs = 0\n", self.list());
        text
    }
}
