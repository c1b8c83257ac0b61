//! The stand-ins' command line: each as a process of its own.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use hawthornmill::config::accept::Values;

use super::engine::{Engine, EngineModel};
use super::plain::Plain;
use super::platform::Platform;
use super::relay::Relay;
use super::serve::serve;

/// Run a stand-in for a system that hawthornmill meets.
#[derive(Debug, FromArgs)]
pub struct StandinArgs {
    #[argh(subcommand)]
    what: What,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum What {
    Platform(PlatformArgs),
    Engine(EngineArgs),
    Plain(PlainArgs),
    Relay(RelayArgs),
}

/// The platform: configuration and instance list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on
    #[argh(option, default = "\"127.0.0.1:7000\".into()")]
    listen: String,
    /// file with the first fleet configuration
    #[argh(option)]
    fleet: Option<PathBuf>,
    /// file with the instance list as JSON
    #[argh(option)]
    instances: Option<PathBuf>,
    /// age of the instance list in milliseconds
    #[argh(option, default = "500")]
    lag_ms: u64,
}

/// A model engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// microseconds of a step with one request in the batch
    #[argh(option, default = "3000")]
    step_us: u64,
}

/// A plain service whose calls may not repeat.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plain")]
struct PlainArgs {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// milliseconds that a call takes
    #[argh(option, default = "60")]
    work_ms: u64,
}

/// A link to an address, for TCP and UDP.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "relay")]
struct RelayArgs {
    /// address to pass to
    #[argh(option)]
    target: std::net::SocketAddr,
    /// one-way delay in milliseconds
    #[argh(option, default = "0")]
    delay_ms: u64,
    /// bytes a second; 0 is no limit
    #[argh(option, default = "0")]
    rate: u64,
}

/// Runs the tool until it is ended; the result is the process's exit code.
pub async fn main(args: StandinArgs) -> u8 {
    let result = match args.what {
        What::Platform(args) => platform(&args).await,
        What::Engine(args) => engine(&args).await,
        What::Plain(args) => plain(&args).await,
        What::Relay(args) => relay(&args).await,
    };
    match result {
        Ok(()) => 0,
        Err(error) => {
            eprintln!("{error}");
            2
        }
    }
}

async fn platform(args: &PlatformArgs) -> std::io::Result<()> {
    let platform = Platform::new(Duration::from_millis(args.lag_ms));
    if let Some(path) = &args.fleet {
        let text = std::fs::read_to_string(path)?;
        platform.publish(Values::from([("fleet".into(), text.into())]));
    }
    if let Some(path) = &args.instances {
        let text = std::fs::read_to_string(path)?;
        platform.set_instances(serde_json::from_str(&text)?);
    }
    let running = serve(&args.listen, platform.endpoint())?;
    println!("platform on {}", running.address);
    running.wait().await;
    Ok(())
}

async fn engine(args: &EngineArgs) -> std::io::Result<()> {
    let model = EngineModel {
        step: Duration::from_micros(args.step_us),
        ..EngineModel::default()
    };
    let running = serve(&args.listen, Engine::new(model).endpoint())?;
    println!("engine on {}", running.address);
    running.wait().await;
    Ok(())
}

async fn plain(args: &PlainArgs) -> std::io::Result<()> {
    let plain = Plain::new(Duration::from_millis(args.work_ms));
    let running = serve(&args.listen, plain.endpoint())?;
    println!("plain service on {}", running.address);
    running.wait().await;
    Ok(())
}

async fn relay(args: &RelayArgs) -> std::io::Result<()> {
    let relay = Relay::start(args.target).await?;
    relay.set(super::relay::LinkState {
        delay: Duration::from_millis(args.delay_ms),
        rate: args.rate,
        ..super::relay::LinkState::default()
    });
    println!("relay on {} to {}", relay.address, args.target);
    std::future::pending::<()>().await;
    Ok(())
}
