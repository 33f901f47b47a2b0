#!/usr/bin/env python3
"""Says what each mechanism of the gateway is worth: switches one off at a time in a scratch copy and
plays days of deployments.

    tools/ablate.py --bench PROGRAM --days SITE:DAY[,DAY...] ... [--seeds 1-3] [--only REGEX] [--jobs N]

SITE is the path of a deployment's file. Prints a Markdown table: the mean worth with everything on,
and for each mechanism the difference without it, by deployment. The entries of the runs' journal are
copied into journal/ here. A mechanism whose text isn't found any more is named and left out; then
its row below must be mended.
"""

import argparse
import concurrent.futures
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import sys
import tempfile

SOURCES = "bamboostream/src/"

# Name, file, text that is replaced, replacement.
MECHANISMS = [
    ("evacuation", "Evacuation/evacuation_service.cpp",
     "if (moves && !start_evacuation(backend)) {", "if (false && moves) {"),
    ("copy while the generation runs", "Evacuation/evacuation_service.cpp",
     "co_await mover_.move(source.address, id, target.address, false, first_copy_timeout, why);",
     "std::optional<move_result>(move_result{});"),
    ("going on from a first copy", "Evacuation/evacuation_service.cpp",
     "if (source_gone) {", "if (false) {"),
    ("one copy a target at a time", "Evacuation/evacuation_service.cpp",
     "if (!busy_targets_.contains(backend->id)) {", "if (true) {"),
    ("small copies first", "Evacuation/move_plan.cpp",
     "c.generation.memory_tokens, std::string_view(c.generation.id));",
     "std::int64_t{0}, std::string_view(c.generation.id));"),
    ("near targets first", "Evacuation/move_plan.cpp",
     "constexpr double cost_per_second = 1.2;", "constexpr double cost_per_second = 0.0;"),
    ("room at targets by the pool", "Evacuation/move_plan.h",
     "double max_fill_when_busy = 0.65;", "double max_fill_when_busy = 0.95;"),
    ("any room at targets", "Evacuation/move_plan.cpp",
     "if (fill > max_fill || t.work.requests", "if (t.work.requests"),
    ("outlived estimates go on", "Forwarding/active_streams.cpp",
     "std::max(stream.expected_output_tokens - stream.output_tokens, stream.output_tokens / 2);",
     "std::max<std::int64_t>(stream.expected_output_tokens - stream.output_tokens, 0);"),
    ("work told at once", "Forwarding/forwarded_call.cpp",
     "if (must_notify && state_.on_generation_change) {", "if (false && must_notify) {"),
    ("placement: memory", "Routing/backend_picker.cpp",
     "out += static_cast<double>(work.memory_tokens) /",
     "out += 0.0 * static_cast<double>(work.memory_tokens) /"),
    ("placement: unread prompts", "Routing/backend_picker.cpp",
     "out += static_cast<double>(work.unread_tokens) / unread_tokens_per_full_server;", ""),
    ("placement: recent failures", "Routing/backend_picker.cpp",
     "out += failure_rate_cost * found->second;", ""),
    ("placement: near domain", "Routing/backend_picker.cpp",
     "constexpr double remote_domain_cost = 0.02;", "constexpr double remote_domain_cost = 0.0;"),
    ("placement: slow after its start", "Routing/backend_picker.cpp",
     "constexpr double cold_cost = 0.5;", "constexpr double cold_cost = 0.0;"),
    ("ejection of outliers", "Routing/backend_picker.cpp",
     "outliers_.ejected(id.text(), now);", "false;"),
    ("unreachable servers passed over", "Routing/backend_picker.cpp",
     "(found != unreachable_until_.end() && now < found->second) ||", ""),
    ("admission", "Limits/engine_admission.h",
     "double max_claimed_fraction = 1.1;", "double max_claimed_fraction = 99.0;"),
    ("admission: prompts queued", "Limits/engine_admission.h",
     "double max_start_fraction = 0.9;", "double max_start_fraction = 99.0;"),
    ("engines asked while the store is away", "Evacuation/evacuation_service.cpp",
     "if (state_.registry.store_away() && state_.routes) {", "if (false) {"),
    ("two readers of the store", "Gateway/store_read_policy.h",
     "static constexpr std::size_t reader_count = 2;", "static constexpr std::size_t reader_count = 999;"),
    ("removals that readers conclude", "Gateway/change_cursor.h",
     "return next >= position_;", "return next > position_ && next < 0;"),
    ("further sends", "Forwarding/attempt_policy.cpp",
     "return repeats != repeat_rule::once || (not_executed && !history.may_have_run);",
     "return not_executed && !history.may_have_run;"),
]


def seeds_of(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def play(bench, folder, site, day, seed, why):
    """Returns the worth of one run, or None if it could not be run."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        subprocess.run([bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1",
                        "--report", report.name, "--why", why],
                       cwd=folder, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, check=False)
        text = pathlib.Path(report.name).read_text(encoding="utf-8")
        if not text:
            return None
        facts = json.loads(text)
        return 0.0 if facts["breaks"] or facts["fault"] else facts["G"]


def play_all(args, folder, why):
    """Returns the worths of the runs of each deployment."""
    runs = [(site, day, seed) for site, days in args.days for day in days for seed in args.seeds]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        worths = list(pool.map(lambda r: play(args.bench, folder, *r, why), runs))
    out = {}
    for (site, _, _), worth in zip(runs, worths):
        if worth is not None:
            out.setdefault(pathlib.Path(site).stem, []).append(worth)
    return out


def build(args, folder):
    done = subprocess.run([args.bench, "build"], cwd=folder, capture_output=True, text=True, check=False)
    return "the build failed" not in done.stdout + done.stderr


def row_of(name, base, worths):
    cells = []
    for site, whole in base.items():
        without = worths.get(site, [])
        if len(without) != len(whole):
            cells.append("not played")
            continue
        changes = [b - a for a, b in zip(whole, without)]
        spread = statistics.pstdev(changes) / len(changes) ** 0.5
        cells.append(f"{statistics.mean(changes):+.3f} ± {spread:.3f}")
    return f"| {name} | " + " | ".join(cells) + " |"


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--days", nargs="+", required=True)
    parser.add_argument("--seeds", type=seeds_of, default=seeds_of("1-3"))
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    args.bench = str(pathlib.Path(args.bench).resolve())
    args.days = [(str(pathlib.Path(d.rsplit(":", 1)[0]).resolve()), d.rsplit(":", 1)[1].split(","))
                 for d in args.days]
    here = pathlib.Path(__file__).resolve().parent.parent
    scratch = pathlib.Path(tempfile.mkdtemp())
    folder = scratch / "copy"
    subprocess.run(["git", "clone", "-q", str(here), str(folder)], check=True)
    # Code that is left unused by a disabled mechanism must not fail the build.
    targets = folder / "cmake" / "BamboostreamTargets.cmake"
    targets.write_text(targets.read_text().replace(" -Werror", ""))
    if not build(args, folder):
        sys.exit("the unchanged copy doesn't build")
    base = play_all(args, folder, "Ablation: everything on")
    print("| without | " + " | ".join(base) + " |")
    print("|---" * (len(base) + 1) + "|")
    print("| (worth with everything) | "
          + " | ".join(f"{statistics.mean(w):.3f} ({len(w)} runs)" for w in base.values()) + " |", flush=True)
    for name, file, old, new in MECHANISMS:
        if not re.search(args.only, name):
            continue
        path = folder / SOURCES / file
        whole = path.read_text(encoding="utf-8")
        if old not in whole:
            print(f"| {name} | text not found: mend the row |", flush=True)
            continue
        path.write_text(whole.replace(old, new), encoding="utf-8")
        if build(args, folder):
            print(row_of(name, base, play_all(args, folder, f"Ablation: without {name}")), flush=True)
        else:
            print(f"| {name} | doesn't build without it |", flush=True)
        path.write_text(whole, encoding="utf-8")
    for entry in (folder / "journal").rglob("*"):
        target = here / "journal" / entry.relative_to(folder / "journal")
        if entry.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(entry, target)
    shutil.rmtree(scratch)


if __name__ == "__main__":
    main()
