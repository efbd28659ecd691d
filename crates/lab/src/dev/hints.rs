//! Example commands for a running fleet.

use std::net::SocketAddr;

use linnethitch_config::fleet::Fleet;

use super::keys::KeyFiles;

/// Values that the example commands contain.
pub(super) struct Hints<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) gateway: SocketAddr,
    pub(super) operator: SocketAddr,
    pub(super) api_key: &'a str,
    pub(super) operator_key: &'a str,
    pub(super) files: &'a KeyFiles,
}

impl Hints<'_> {
    /// Command lines for a shell, with comments.
    pub(super) fn text(&self) -> String {
        let mut blocks = Vec::new();
        if let Some(model) = self.fleet.models.first() {
            blocks.push(self.stream(&model.name));
            blocks.push(self.batch(&model.name));
        }
        if let Some(service) = self.fleet.services.first() {
            blocks.push(self.service(&service.name));
        }
        blocks.push(self.status());
        format!("\n# Try:\n\n{}\n", blocks.join("\n"))
    }

    fn stream(&self, model: &str) -> String {
        let Hints {
            gateway, api_key, ..
        } = self;
        format!(
            r#"# A streamed answer
curl -sN http://{gateway}/v1/chat/completions -H 'Authorization: Bearer {api_key}' \
    -H 'Content-Type: application/json' \
    -d '{{"model":"{model}","stream":true,"messages":[{{"role":"user","content":"A pallet from Worcester to Portland?"}}]}}'
"#
        )
    }

    fn batch(&self, model: &str) -> String {
        let Hints {
            gateway, api_key, ..
        } = self;
        format!(
            r#"# A batch job of three items
for n in 1 2 3; do echo '{{"custom_id":"lane-'$n'","method":"POST","url":"/v1/chat/completions","body":{{"model":"{model}","max_tokens":32,"messages":[{{"role":"user","content":"Price lane '$n'"}}]}}}}'; done > items.jsonl
FILE=$(curl -s http://{gateway}/v1/files -H 'Authorization: Bearer {api_key}' -F purpose=batch -F file=@items.jsonl | sed 's/.*"id":"\([^"]*\)".*/\1/')
JOB=$(curl -s http://{gateway}/v1/batches -H 'Authorization: Bearer {api_key}' -H 'Content-Type: application/json' \
    -d '{{"input_file_id":"'$FILE'","endpoint":"/v1/chat/completions","completion_window":"24h"}}' | sed 's/.*"id":"\(batch_[^"]*\)".*/\1/')
until curl -s http://{gateway}/v1/batches/$JOB -H 'Authorization: Bearer {api_key}' > job.json && grep -q '"status":"completed"' job.json; do sleep 1; done
curl -s http://{gateway}/v1/files/$(sed 's/.*"output_file_id":"\([^"]*\)".*/\1/' job.json)/content -H 'Authorization: Bearer {api_key}'
# The same by the command line
linnethitch batch submit items.jsonl --wait --gateway {gateway} --key-file {tenant}
"#,
            tenant = self.files.tenant.display()
        )
    }

    fn service(&self, service: &str) -> String {
        let Hints {
            gateway, api_key, ..
        } = self;
        format!(
            "# The application service\n\
             curl -s http://{gateway}/services/{service}/42 -H 'Authorization: Bearer {api_key}'\n"
        )
    }

    fn status(&self) -> String {
        let Hints {
            operator,
            operator_key,
            ..
        } = self;
        format!(
            "# The fleet at a glance\n\
             curl -s http://{operator}/v1/status -H 'Authorization: Bearer {operator_key}'\n\
             linnethitch status --operator {operator} --key-file {}\n",
            self.files.operator.display()
        )
    }
}
