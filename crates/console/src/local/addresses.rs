//! Addresses and ports of the local system.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use crate::error::ConsoleError;

/// Ports that each address uses, one after the other.
pub const PORTS: u16 = 4;
/// The stand-in's address is 127.0.0.1, those of the processes follow.
pub const ADDRESSES: u8 = 7;
/// Where free ports are looked for: below those that the kernel gives to outgoing connections.
const SEARCHED: std::ops::Range<u32> = 10_000..32_000;

/// The address with a last number.
pub fn loopback(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, number)
}

/// The first port of a block that is free on all addresses; 0 asks for any.
pub fn first_port(wanted: u16) -> Result<u16, ConsoleError> {
    if wanted != 0 {
        return check(wanted).map(|()| wanted);
    }
    let blocks = (SEARCHED.end - SEARCHED.start) / u32::from(PORTS);
    // Two systems that start at once look at different places first.
    let start = std::process::id() % blocks;
    let mut last = Ok(0);
    for block in (start..blocks).chain(0..start) {
        let port = (SEARCHED.start + block * u32::from(PORTS)) as u16;
        last = check(port).map(|()| port);
        if last.is_ok() {
            break;
        }
    }
    last
}

fn check(first: u16) -> Result<(), ConsoleError> {
    for number in 1..=ADDRESSES {
        for port in first..first.saturating_add(PORTS) {
            let address = SocketAddr::from((loopback(number), port));
            TcpListener::bind(address).map_err(|error| ConsoleError::AddressTaken { address, error })?;
        }
    }
    Ok(())
}
