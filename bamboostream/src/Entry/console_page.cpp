#include "bamboostream/src/Entry/console_page.h"

namespace bamboostream {

namespace {

// The page edits a copy of the document that the instance returned and submits the changes against
// the version of that document. Every input is a standard labelled form control, so that the whole
// page can be used with the keyboard.
constexpr std::string_view page = R"html(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>bamboostream console</title>
<style>
body{font-family:sans-serif;margin:1.5em;max-width:72em}
fieldset{margin:.6em 0}label{display:inline-block;margin:.2em .8em .2em 0}
input,select{font:inherit}pre{background:#f4f4f4;padding:.8em;overflow:auto;max-height:28em}
.bad{color:#a00}.good{color:#060}
</style></head><body>
<h1>bamboostream console</h1>
<p>Based on version <output id="version">?</output>. Nothing is in force until it is submitted.</p>
<div id="forms"></div>
<h2>Document</h2>
<button id="validate" type="button">Validate</button>
<button id="download" type="button">Download</button>
<label>Author <input id="author" value="operator"></label>
<button id="submit" type="button">Submit</button>
<p id="result" role="status" aria-live="polite"></p>
<pre id="document"></pre>
<script>
"use strict";
const number = (min, step) => ({type: "number", min, step});
const sections = {
  workspaces: {weight: number(0.001, "any"), max_running: number(1, 1), max_waiting: number(0, 1),
    highest_priority: ["urgent", "standard", "batch"]},
  pools: {model: {type: "text"}, version: {type: "text"}, objective: ["stall_time", "tail_latency"],
    least_serving: number(0, 1), default_wait_ms: number(1, 1),
    engines_check_fencing: {type: "checkbox"}},
  services: {}, resume_keys: {secret: {type: "text"}, active: {type: "checkbox"}}};
let base = 0, original = {}, doc = {};
const byId = id => document.getElementById(id);
const element = (name, props, ...children) => {
  const e = Object.assign(document.createElement(name), props); e.append(...children); return e; };
function input(entry, field, kind) {
  let control;
  if (Array.isArray(kind)) {
    control = element("select", {}, ...kind.map(v => element("option", {value: v, textContent: v})));
  } else control = element("input", kind);
  const check = kind.type === "checkbox";
  const value = entry[field];
  if (check) control.checked = value === undefined ? true : value;
  else if (value !== undefined) control.value = value;
  control.addEventListener("input", () => {
    if (check) entry[field] = control.checked;
    else if (control.value === "") delete entry[field];
    else entry[field] = kind.type === "number" ? Number(control.value) : control.value;
    show();
  });
  return element("label", {}, field + " ", control);
}
function keys(entry) {
  const id = element("input", {type: "text", placeholder: "key id"});
  const secret = element("input", {type: "password", placeholder: "bearer key"});
  const add = element("button", {type: "button", textContent: "Add key"});
  add.addEventListener("click", async () => {
    const bytes = new TextEncoder().encode(secret.value);
    const digest = new Uint8Array(await crypto.subtle.digest("SHA-256", bytes));
    (entry.keys = entry.keys || []).push({id: id.value,
      sha256: Array.from(digest, b => b.toString(16).padStart(2, "0")).join("")});
    render();
  });
  return element("div", {}, `keys: ${(entry.keys || []).map(k => k.id).join(", ") || "none"} `,
    id, secret, add);
}
function operations(entry) {
  entry.operations = entry.operations || {};
  const box = element("div", {});
  for (const [name, o] of Object.entries(entry.operations)) {
    box.append(element("div", {}, name + ": ", input(o, "idempotent", {type: "checkbox"}),
      input(o, "deadline_ms", number(1, 1)), input(o, "max_body_bytes", number(0, 1))));
  }
  const name = element("input", {type: "text", placeholder: "operation"});
  const add = element("button", {type: "button", textContent: "Add operation"});
  add.addEventListener("click", () => {
    if (name.value) { entry.operations[name.value] = {idempotent: false}; render(); } });
  box.append(name, add);
  return box;
}
function form(section, name) {
  const entry = doc[section][name];
  const remove = element("button", {type: "button", textContent: "Remove"});
  remove.addEventListener("click", () => { delete doc[section][name]; render(); });
  const set = element("fieldset", {}, element("legend", {textContent: name}));
  for (const [field, kind] of Object.entries(sections[section])) set.append(input(entry, field, kind));
  if (section === "workspaces") set.append(keys(entry));
  if (section === "services") set.append(operations(entry));
  set.append(remove);
  return set;
}
function render() {
  const forms = byId("forms");
  forms.replaceChildren();
  for (const section of Object.keys(sections)) {
    doc[section] = doc[section] || {};
    forms.append(element("h2", {textContent: section}));
    for (const name of Object.keys(doc[section])) forms.append(form(section, name));
    const name = element("input", {type: "text", id: "new-" + section});
    const add = element("button", {type: "button", textContent: "Add", id: "add-" + section});
    add.addEventListener("click", () => {
      if (name.value) { doc[section][name.value] = {}; render(); } });
    forms.append(element("label", {}, "new name ", name), add);
  }
  show();
}
function show() { byId("document").textContent = JSON.stringify(doc, null, 2); }
function tell(good, text) {
  const result = byId("result"); result.className = good ? "good" : "bad"; result.textContent = text; }
function changes() {
  const out = [];
  for (const section of Object.keys(sections)) {
    const before = original[section] || {}, after = doc[section] || {};
    for (const name of Object.keys(after))
      if (JSON.stringify(before[name]) !== JSON.stringify(after[name]))
        out.push({entry: `${section}/${name}`, value: after[name]});
    for (const name of Object.keys(before))
      if (!(name in after)) out.push({entry: `${section}/${name}`, value: null});
  }
  return out;
}
async function post(path, body) {
  const response = await fetch(path, {method: "POST", body: JSON.stringify(body)});
  return [response.status, await response.json()];
}
async function validate() {
  const [status, body] = await post("/v1/configuration/validate", doc);
  const details = status === 200 ? "" : body.error.details
    .map(d => `${d.path}: found ${d.found}, expected ${d.expected}`).join("; ");
  tell(status === 200, status === 200 ? "valid" : details);
  return status === 200;
}
async function load() {
  const response = await fetch("/v1/configuration");
  const body = await response.json();
  base = body.version; original = body.document; doc = structuredClone(original);
  byId("version").textContent = base;
  render();
}
byId("validate").addEventListener("click", validate);
byId("download").addEventListener("click", () => {
  const url = URL.createObjectURL(new Blob([JSON.stringify(doc, null, 2)]));
  element("a", {href: url, download: "bamboostream.json"}).click(); });
byId("submit").addEventListener("click", async () => {
  if (!await validate()) return;
  const list = changes();
  if (!list.length) return tell(true, "nothing to change");
  const [, body] = await post("/v1/configuration",
    {base, author: byId("author").value, changes: list});
  if (body.fate === "accepted") { await load(); return tell(true, `accepted as version ${body.version}`); }
  tell(false, body.fate ? `${body.fate}: ${body.reasons.join(", ")}` : JSON.stringify(body));
});
load().catch(e => tell(false, String(e)));
</script></body></html>
)html";

} // namespace

std::string_view console_page() {
    return page;
}

} // namespace bamboostream
