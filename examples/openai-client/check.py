"""Drives a running fleet with the unmodified OpenAI client library.

    python3 -m venv venv && venv/bin/pip install -r examples/openai-client/requirements.txt
    venv/bin/python examples/openai-client/check.py --base-url http://127.0.0.1:8080/v1 --api-key lh-dev-key

Each check prints a line; the exit status is 1 when any of them failed.
"""

import argparse
import io
import json
import sys
import time

import openai

BATCH_ITEMS = 40
BATCH_TIMEOUT_SECONDS = 120
POLL_SECONDS = 0.5


def check_models(client, _options):
    models = [model.id for model in client.models.list()]
    assert models, "no models listed"
    return f"{len(models)} models: {', '.join(models)}"


def check_whole_chat(client, options):
    answer = client.chat.completions.create(
        model=options.model,
        messages=[{"role": "user", "content": "quote Worcester to Hartford"}],
        max_tokens=12,
    )
    choice = answer.choices[0]
    assert choice.finish_reason in ("stop", "length"), choice
    assert choice.message.content, "empty answer"
    return f"{answer.usage.completion_tokens} tokens, {choice.finish_reason}"


def check_streamed_chat(client, options):
    stream = client.chat.completions.create(
        model=options.model,
        messages=[{"role": "user", "content": "quote Worcester to Portland"}],
        max_tokens=12,
        stream=True,
    )
    parts = []
    finish_reason = None
    for event in stream:
        if event.choices:
            parts.append(event.choices[0].delta.content or "")
            finish_reason = event.choices[0].finish_reason or finish_reason
    assert finish_reason in ("stop", "length"), finish_reason
    assert "".join(parts), "empty stream"
    return f"{len(parts)} events, {finish_reason}"


def check_completion(client, options):
    answer = client.completions.create(model=options.model, prompt="tariff 9403", max_tokens=5)
    assert answer.choices[0].text, "empty answer"
    return f"{answer.usage.completion_tokens} tokens"


def check_unknown_model(client, _options):
    try:
        client.chat.completions.create(
            model="no-such-model", messages=[{"role": "user", "content": "x"}]
        )
    except openai.NotFoundError as error:
        return f"refused: {error.code}"
    raise AssertionError("an unknown model was accepted")


def check_bad_key(_client, options):
    stranger = openai.OpenAI(base_url=options.base_url, api_key="wrong", max_retries=0)
    try:
        stranger.models.list()
    except openai.AuthenticationError as error:
        return f"refused: {error.code}"
    raise AssertionError("a wrong key was accepted")


def batch_lines(model, count):
    for number in range(count):
        yield {
            "custom_id": f"lane-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": model,
                "messages": [{"role": "user", "content": f"price lane {number}"}],
                "max_tokens": 8,
            },
        }


def upload(client, lines):
    content = "".join(json.dumps(line) + "\n" for line in lines).encode()
    return client.files.create(file=("lanes.jsonl", io.BytesIO(content)), purpose="batch")


def create_batch(client, file_id, key):
    return client.batches.create(
        input_file_id=file_id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
        metadata={"customer": "hartford"},
        extra_headers={"Idempotency-Key": key},
    )


def wait_for_end(client, batch_id):
    deadline = time.monotonic() + BATCH_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        batch = client.batches.retrieve(batch_id)
        if batch.status in ("completed", "failed", "expired", "cancelled"):
            return batch
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"batch {batch_id} did not end: {batch.status}")


def check_batch(client, options):
    uploaded = upload(client, batch_lines(options.model, BATCH_ITEMS))
    key = f"check-{time.time_ns()}"
    created = create_batch(client, uploaded.id, key)
    again = create_batch(client, uploaded.id, key)
    assert created.id == again.id, "a resent creation made a second job"
    assert any(batch.id == created.id for batch in client.batches.list(limit=20))
    ended = wait_for_end(client, created.id)
    assert ended.status == "completed", ended
    text = client.files.content(ended.output_file_id).text
    answered = sorted(json.loads(line)["custom_id"] for line in text.splitlines())
    expected = sorted(f"lane-{number}" for number in range(BATCH_ITEMS))
    assert answered == expected, "items lost or doubled"
    return f"{len(answered)} items, each answered once"


def check_cancelled_batch(client, options):
    uploaded = upload(client, batch_lines(options.model, BATCH_ITEMS * 50))
    created = create_batch(client, uploaded.id, f"cancel-{time.time_ns()}")
    client.batches.cancel(created.id)
    ended = wait_for_end(client, created.id)
    assert ended.status == "cancelled", ended
    completed = ended.request_counts.completed
    time.sleep(2 * POLL_SECONDS)
    later = client.batches.retrieve(created.id).request_counts.completed
    assert later == completed, "an item completed after the cancel"
    return f"{completed} of {ended.request_counts.total} items had completed"


def check_bad_line(client, options):
    lines = list(batch_lines(options.model, 20))
    lines[16]["body"] = "not an object"
    try:
        uploaded = upload(client, lines)
        created = create_batch(client, uploaded.id, f"bad-{time.time_ns()}")
    except openai.BadRequestError as error:
        assert "17" in str(error), error
        return f"refused: {error.code}"
    ended = wait_for_end(client, created.id)
    assert ended.status == "failed" and ended.errors.data[0].line == 17, ended
    return f"failed: {ended.errors.data[0].code} on line {ended.errors.data[0].line}"


def check_files(client, options):
    uploaded = upload(client, batch_lines(options.model, 3))
    assert client.files.retrieve(uploaded.id).bytes == uploaded.bytes
    assert any(file.id == uploaded.id for file in client.files.list())
    assert len(client.files.content(uploaded.id).text.splitlines()) == 3
    client.files.delete(uploaded.id)
    return f"{uploaded.bytes} bytes, read back and deleted"


CHECKS = [
    check_models,
    check_whole_chat,
    check_streamed_chat,
    check_completion,
    check_unknown_model,
    check_bad_key,
    check_files,
    check_bad_line,
    check_batch,
    check_cancelled_batch,
]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--base-url", default="http://127.0.0.1:8080/v1")
    parser.add_argument("--api-key", default="lh-dev-key")
    parser.add_argument("--model", default="quote-writer")
    options = parser.parse_args()
    client = openai.OpenAI(
        base_url=options.base_url, api_key=options.api_key, max_retries=2, timeout=30
    )
    failed = 0
    for check in CHECKS:
        name = check.__name__.removeprefix("check_")
        try:
            print(f"ok      {name}: {check(client, options)}", flush=True)
        except Exception as error:  # each failure is reported, then the next check runs
            failed += 1
            print(f"FAILED  {name}: {type(error).__name__}: {error}", flush=True)
    print(f"{len(CHECKS) - failed} of {len(CHECKS)} checks passed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
