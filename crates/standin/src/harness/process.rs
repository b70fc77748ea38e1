//! A process that is killed when its handle is dropped.

use std::{
    env,
    fs::File,
    path::{Path, PathBuf},
    process::{Command as StdCommand, Stdio},
    sync::OnceLock,
    time::Duration,
};

use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
    time::timeout,
};

/// Bounds the start of a process on a busy machine.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Bounds the end of a process after SIGTERM or a crash.
const EXIT_LIMIT: Duration = Duration::from_secs(30);

static STANDIN_BUILT: OnceLock<()> = OnceLock::new();

/// Process that is killed when its handle is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// First line on its standard output.
    pub(crate) line: String,
}

/// Returns the path of a program of this workspace.
pub(crate) fn program(name: &str) -> PathBuf {
    let exe = env::current_exe().expect("the path of this program");
    let dir = exe.parent().expect("a folder");
    let dir = if dir.ends_with("deps") {
        dir.parent().expect("the target folder")
    } else {
        dir
    };
    if name == "standin" {
        STANDIN_BUILT.get_or_init(build_standin);
    }
    dir.join(name)
}

/// Builds the stand-ins, which `cargo test -p celerytally` alone would not.
fn build_standin() {
    let Some(cargo) = env::var_os("CARGO") else {
        return;
    };
    let args = ["build", "--quiet", "--locked", "--package", "standin"];
    let built = StdCommand::new(cargo).args(args).status();
    assert!(built.is_ok_and(|status| status.success()), "no stand-ins");
}

impl Process {
    /// Starts a program and waits for its first line.
    pub(crate) async fn start(program: &Path, args: &[String], log: &Path) -> Self {
        let log = File::options().create(true).append(true).open(log);
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.expect("a log file"))
            .kill_on_drop(true)
            .spawn()
            .unwrap_or_else(|e| panic!("{}: {e}", program.display()));
        let stdout = child.stdout.take().expect("a piped output");
        let mut lines = BufReader::new(stdout).lines();
        let first = timeout(START_LIMIT, lines.next_line()).await;
        let line = match first {
            Ok(Ok(Some(line))) => line,
            other => panic!("{} {args:?} did not start: {other:?}", program.display()),
        };
        // A full pipe would block the process.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Self { child, line }
    }

    /// Sends a signal to this process only.
    ///
    /// # Panics
    /// When the process has ended.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().expect("a running process").to_string();
        let sent = StdCommand::new("kill").args([signal, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill {signal}");
    }

    /// Returns the id of the process, zero when it has ended.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id().unwrap_or_default()
    }

    /// Stops the process without ending it.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Continues a frozen process.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        drop(self.child.kill().await);
    }

    /// Waits until the process has ended and returns whether it ended with success.
    ///
    /// # Panics
    /// When it goes on running.
    pub async fn wait_exit(&mut self) -> bool {
        let ended = timeout(EXIT_LIMIT, self.child.wait()).await;
        let status = ended.expect("the process ends").expect("a status");
        status.success()
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}
