//! The command line.

use std::path::PathBuf;

use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// A load-balancing sidecar.
///
/// Called without a command it serves, as `harelock run` does. The platform's configuration is the file that
/// ROUTER_CONFIG names. SIGTERM finishes what is held, SIGHUP reads the configuration again, SIGUSR1 dumps the
/// capture.
#[derive(Parser, Debug)]
#[command(name = "harelock", version, args_conflicts_with_subcommands = true)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Serving, where no command is named.
    #[command(flatten)]
    pub run: Run,
}

/// What the program can do.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// Serves until SIGTERM.
    Run(Run),
    /// Checks an operators' file without serving: 0 if it is sound, 2 if not.
    Check(Check),
    /// Tells which route a request takes and why, and when its sends may go out.
    Explain(Explain),
    /// Prints the JSON Schema of the operators' file.
    Schema,
    /// Feeds captured events to the module again and prints each decision that differs: 1 if some do.
    Replay(Replay),
    /// Prints the completions for a shell.
    Completions {
        /// Which shell.
        shell: Shell,
    },
    /// Prints the manual page.
    Manual,
}

/// Serving.
#[derive(Args, Debug, Default)]
pub struct Run {
    /// The operators' file; without one its features are off.
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
}

/// Checking.
#[derive(Args, Debug)]
pub struct Check {
    /// The operators' file.
    #[arg(value_name = "FILE")]
    pub operator: PathBuf,
    /// The platform's configuration that routes are checked against.
    #[arg(long, value_name = "FILE", env = "ROUTER_CONFIG")]
    pub config: Option<PathBuf>,
    /// Tells what is wrong as JSON, a line each.
    #[arg(long)]
    pub json: bool,
}

/// Explaining.
#[derive(Args, Debug)]
pub struct Explain {
    /// The operators' file.
    #[arg(long, value_name = "FILE")]
    pub operator: PathBuf,
    /// The platform's configuration.
    #[arg(long, value_name = "FILE", env = "ROUTER_CONFIG")]
    pub config: PathBuf,
    /// The request's method.
    #[arg(value_enum)]
    pub method: Method,
    /// The request's path.
    pub path: String,
    /// A header of the request, NAME:VALUE.
    #[arg(short = 'H', long = "header", value_name = "NAME:VALUE", value_parser = header)]
    pub headers: Vec<(String, String)>,
}

/// A request's method.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq)]
#[value(rename_all = "UPPER")]
pub enum Method {
    /// Reads.
    Get,
    /// Changes something.
    Post,
}

/// Replaying.
#[derive(Args, Debug)]
pub struct Replay {
    /// The platform's configuration.
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// The operators' file, for its routes.
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
    /// A capture; several are read in the order given.
    #[arg(long = "capture", value_name = "FILE", required = true)]
    pub captures: Vec<PathBuf>,
}

fn header(text: &str) -> Result<(String, String), String> {
    let (name, value) = text.split_once(':').ok_or("a header is NAME:VALUE")?;
    Ok((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
}

/// The completions for a shell, on standard output.
pub fn completions(shell: Shell) {
    clap_complete::generate(shell, &mut Cli::command(), "harelock", &mut std::io::stdout());
}

/// The manual page, on standard output.
pub fn manual() -> std::io::Result<()> {
    clap_mangen::Man::new(Cli::command()).render(&mut std::io::stdout())
}

#[cfg(test)]
mod tests;
