//! Runs the scenario files; `REWRITE=1` writes the traces into them.

use std::fmt::Write as _;

use cumindeck_scenario::Simulation;

/// Guards against a change of behaviour under each failure that a file describes.
#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut simulation = Simulation::new(2, 3, None);
        file.run(|case| {
            let mut trace = String::new();
            for line in case.input.lines() {
                let command = match line.parse() {
                    Ok(command) => command,
                    Err(error) => {
                        writeln!(trace, "{error}").unwrap();
                        break;
                    }
                };
                let result = simulation.perform(&command);
                for line in simulation.take_trace() {
                    writeln!(trace, "{line}").unwrap();
                }
                if let Err(violation) = result {
                    writeln!(trace, "VIOLATION {violation}").unwrap();
                }
            }
            trace
        });
    });
}
