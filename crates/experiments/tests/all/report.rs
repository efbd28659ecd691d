//! Tests of the files of a report.

use linnethitch_experiments::{
    Experiment, Settings,
    report::{self, Section},
};

#[test]
fn a_report_has_pages_results_and_every_plot() {
    let settings = Settings {
        seed: 3,
        seconds: 3,
        warm_up_seconds: 1,
    };
    let experiment = Experiment::find("isolation").expect("the experiment exists");
    let finding = experiment.run(&settings).expect("the experiment runs");
    let plots: Vec<String> = finding.plots.iter().map(|plot| plot.name.clone()).collect();
    let title = finding.tables[0].title.clone();
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let sections = [Section {
        experiment,
        finding,
    }];
    report::write(folder.path(), &settings, &sections).expect("the report is written");
    let read = |name: &str| std::fs::read_to_string(folder.path().join(name)).expect(name);
    assert_eq!(plots.len(), 6);
    for plot in &plots {
        let svg = read(&format!("{plot}.svg"));
        assert!(svg.contains("<polyline"), "{plot} has no curve");
        assert!(read("report.md").contains(&format!("{plot}.svg")));
    }
    assert!(read("report.html").contains(&title));
    let results: serde_json::Value = serde_json::from_str(&read("results.json")).expect("JSON");
    assert_eq!(results["experiments"][0]["tables"][0]["title"], title);
}
