use std::io::{self, BufReader};
use std::process::ExitCode;

use pewterseam_adapter::codec::{Batch, WireError};
use pewterseam_adapter::instances::Instances;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pewterseam-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), WireError> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut instances = Instances::default();
    while let Some(batch) = Batch::read(&mut input)? {
        instances.answer(&batch)?.write(&mut output)?;
    }
    Ok(())
}
