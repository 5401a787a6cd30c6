"use strict";

// Console for operators: edits the document in forms that are generated from its JSON Schema, and
// manages keys. The operator's key is kept in memory only and is sent to this server only.

/** Fields whose value is the name of an item in another list of the document: field to list. */
const REFERENCES = { open: "teams", shift: "shifts" };

/** Request timeout in milliseconds, longer than an election of a new leader takes. */
const REQUEST_TIMEOUT_MS = 15000;

/** State of the page. */
const state = {
  key: "",
  schema: null,
  /** Version, hash and content of the document on which the edits are based. */
  base: null,
  /** The document with the edits. */
  document: null,
  /** Request id and content of the last apply until its outcome is known. */
  pending: null,
};

// ---- Values -----------------------------------------------------------------------------------

const clone = (value) => JSON.parse(JSON.stringify(value));

/** Resolves `$ref` and unwraps `anyOf: [x, null]`, by which the schema marks an optional field. */
function resolve(node) {
  let optional = false;
  let result = node;
  for (;;) {
    if (result.$ref) {
      const target = state.schema.$defs[result.$ref.split("/").pop()];
      result = { ...target, ...result, $ref: target.$ref };
    } else if (result.anyOf) {
      optional = true;
      const inner = result.anyOf.find((choice) => choice.type !== "null");
      const { anyOf, ...rest } = result;
      result = { ...inner, ...rest };
    } else {
      return { ...result, optional };
    }
  }
}

/** The values of an enumeration, or null for other schemas. */
function choices(node) {
  if (node.enum) return node.enum;
  if (node.oneOf) return node.oneOf.map((choice) => choice.const);
  return null;
}

/** The initial value of a new item. Fields without a default stay empty. */
function initialValue(node) {
  if (node.default !== undefined) return clone(node.default);
  if (node.type === "array") return [];
  if (node.type !== "object") return undefined;
  const item = {};
  for (const [name, child] of Object.entries(node.properties)) {
    const value = initialValue(resolve(child));
    if (value !== undefined) item[name] = value;
  }
  return item;
}

/** Properties of an object in form order: the name, the required ones, then the optional ones. */
function orderedProperties(node) {
  const required = new Set(node.required || []);
  const rank = ([name]) => (name === "name" ? 0 : required.has(name) ? 1 : 2);
  return Object.entries(node.properties).sort((a, b) => rank(a) - rank(b));
}

/** Maps the path of each field to its value. Paths contain the names of list items, not positions. */
function flatten(value, path = "", out = new Map()) {
  if (Array.isArray(value) && value.some((item) => item !== null && typeof item === "object")) {
    value.forEach((item, index) => {
      const named = `${path}[${item.name || `#${index}`}]`;
      flatten(item, out.has(`${named}.name`) ? `${named}#${index}` : named, out);
    });
  } else if (value !== null && typeof value === "object" && !Array.isArray(value)) {
    for (const [name, child] of Object.entries(value)) {
      flatten(child, path ? `${path}.${name}` : name, out);
    }
  } else if (value !== null && value !== undefined) {
    out.set(path, Array.isArray(value) ? value.join(", ") : String(value));
  }
  return out;
}

/** Rows `[path, before, after]` of all fields that differ between two documents. */
function difference(before, after) {
  const [old, updated] = [flatten(before), flatten(after)];
  const paths = [...new Set([...old.keys(), ...updated.keys()])];
  return paths
    .map((path) => [path, old.get(path), updated.get(path)])
    .filter(([, previous, next]) => previous !== next);
}

const deepEqual = (a, b) => JSON.stringify(a) === JSON.stringify(b);

/** Three-way merge of two edits of `base`. Where both changed a value, that of `mine` wins. */
function merge(base, mine, theirs) {
  if (deepEqual(mine, base)) return theirs;
  if (deepEqual(theirs, base)) return mine;
  const all = [base, mine, theirs];
  if (all.every((value) => Array.isArray(value) && value.every((item) => item?.name))) {
    const names = new Set([...theirs, ...mine].map((item) => item.name));
    const find = (name) => all.map((items) => items.find((item) => item.name === name));
    return [...names].map((name) => merge(...find(name))).filter((item) => item !== undefined);
  }
  if (all.every((value) => value !== null && typeof value === "object" && !Array.isArray(value))) {
    const names = [...new Set([...Object.keys(theirs), ...Object.keys(mine)])];
    const fields = names.map((name) => [name, merge(...all.map((value) => value[name]))]);
    return Object.fromEntries(fields.filter(([, value]) => value !== undefined));
  }
  return mine;
}

/** Generates a random request id of 32 hexadecimal digits. */
function requestId() {
  const bytes = crypto.getRandomValues(new Uint8Array(16));
  return [...bytes].map((byte) => byte.toString(16).padStart(2, "0")).join("");
}

// ---- Server -----------------------------------------------------------------------------------

/** Sends a request; returns `ok`, `status` and `body` of the response. Without one, `status` is 0. */
async function send(method, path, body) {
  const options = { method, cache: "no-store", credentials: "omit", headers: {} };
  options.signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
  options.headers.authorization = `Bearer ${state.key}`;
  if (body !== undefined) {
    options.headers["content-type"] = "application/json";
    options.body = JSON.stringify(body);
  }
  try {
    const answer = await fetch(path, options);
    const json = await answer.json();
    return { ok: answer.ok, status: answer.status, body: json ?? {} };
  } catch (error) {
    return { ok: false, status: 0, body: { message: String(error.message), ran: "unknown" } };
  }
}

// ---- Elements ---------------------------------------------------------------------------------

const byId = (id) => document.getElementById(id);

/** Creates an element. Children given as strings become text nodes and are never parsed as HTML. */
function createElement(tag, attributes = {}, ...children) {
  const element = document.createElement(tag);
  for (const [name, value] of Object.entries(attributes)) {
    if (name.startsWith("on")) element.addEventListener(name.slice(2), value);
    else if (value === true) element.setAttribute(name, "");
    else if (value !== false && value !== undefined) element.setAttribute(name, value);
  }
  element.append(...children);
  return element;
}

const button = (text, action) => createElement("button", { type: "button", onclick: action }, text);

function setStatus(text) {
  byId("status").textContent = text;
}

function show(id, ...children) {
  const panel = byId(id);
  panel.replaceChildren(...children);
  panel.hidden = children.length === 0;
}

function table(headings, rows) {
  const headers = headings.map((text) => createElement("th", { scope: "col" }, text));
  const head = createElement("tr", {}, ...headers);
  const cells = (row) => row.map((text) => createElement("td", {}, text === undefined ? "—" : text));
  const lines = rows.map((row) => createElement("tr", {}, ...cells(row)));
  const body = createElement("tbody", {}, ...lines);
  return createElement("table", {}, createElement("thead", {}, head), body);
}

// ---- Forms ------------------------------------------------------------------------------------

/** A form field: label, control and help text. */
function field(name, node, path, control) {
  const id = `f-${path}`;
  const help = createElement("span", { class: "help", id: `${id}-help` }, node.description || "");
  control.setAttribute("id", id);
  control.setAttribute("data-path", path);
  control.setAttribute("aria-describedby", `${id}-help`);
  const label = createElement("label", { for: id }, name);
  return createElement("div", { class: "field" }, label, control, help);
}

/** Sets the property `name` of `parent`, or removes it if the value is empty. */
function store(parent, name, value) {
  if (value === undefined || value === "") delete parent[name];
  else parent[name] = value;
}

/** A select control. Its options are reloaded on focus, since they may be names of edited items. */
function select(options, parent, name, required) {
  const read = () => store(parent, name, control.value);
  const control = createElement("select", { required, onchange: read });
  const fill = () => {
    const current = parent[name];
    const empty = required && current !== undefined ? [] : [""];
    // A value that is no longer among the options stays visible, so that the check can report it.
    const all = new Set([...empty, ...options(), ...(current ? [current] : [])]);
    const items = [...all].map((value) => createElement("option", { value }, value || "(none)"));
    control.replaceChildren(...items);
    control.value = current ?? "";
  };
  control.addEventListener("focus", fill);
  fill();
  return control;
}

function numberInput(node, parent, name, required) {
  const read = () => store(parent, name, control.value === "" ? undefined : Number(control.value));
  const max = Number.MAX_SAFE_INTEGER;
  const attributes = { type: "number", step: 1, min: node.minimum, max, required };
  const control = createElement("input", { ...attributes, inputmode: "numeric", oninput: read });
  control.value = parent[name] ?? "";
  return control;
}

function textInput(node, parent, name, required) {
  const read = () => store(parent, name, control.value);
  const attributes = { type: "text", pattern: node.pattern, required, autocomplete: "off" };
  const control = createElement("input", { ...attributes, spellcheck: "false", oninput: read });
  control.value = parent[name] ?? "";
  return control;
}

function checkbox(parent, name) {
  const control = createElement("input", { type: "checkbox" });
  control.checked = parent[name] === true;
  control.addEventListener("change", () => store(parent, name, control.checked));
  return control;
}

/** Checkboxes for a set of enumeration values, which is stored in the order of the schema. */
function checkboxGroup(name, node, parent, path) {
  const all = choices(resolve(node.items));
  const boxes = all.map((choice) => {
    const box = createElement("input", { type: "checkbox" });
    box.checked = (parent[name] || []).includes(choice);
    box.addEventListener("change", () => {
      const chosen = new Set(parent[name]);
      if (box.checked) chosen.add(choice);
      else chosen.delete(choice);
      store(parent, name, all.filter((each) => chosen.has(each)));
    });
    return createElement("label", {}, box, choice);
  });
  const group = createElement("fieldset", { id: `f-${path}`, "data-path": path, tabindex: -1 });
  group.append(createElement("legend", {}, name), createElement("div", { class: "days" }, ...boxes));
  return group;
}

/** The control or group of controls for the property `name` of `parent`. */
function buildControl(name, schema, parent, path, required) {
  const node = resolve(schema);
  const mandatory = required && !node.optional;
  if (node.type === "object") {
    parent[name] ??= {};
    return objectGroup(name, node, parent[name], path);
  }
  if (node.type === "array") return checkboxGroup(name, node, parent, path);
  if (node.type === "boolean") return field(name, node, path, checkbox(parent, name));
  const list = REFERENCES[name];
  const names = () => (state.document[list] || []).map((item) => item.name).filter(Boolean);
  const fixed = choices(node);
  const options = list ? names : fixed && (() => fixed);
  if (options) return field(name, node, path, select(options, parent, name, mandatory));
  const control = node.type === "integer" ? numberInput : textInput;
  return field(name, node, path, control(node, parent, name, mandatory));
}

function objectGroup(title, node, parent, path) {
  const required = new Set(node.required || []);
  const parts = orderedProperties(node).map(([name, child]) =>
    buildControl(name, child, parent, `${path}.${name}`, required.has(name)));
  const group = createElement("fieldset", { id: `f-${path}`, "data-path": path, tabindex: -1 });
  group.append(createElement("legend", {}, title), createElement("div", { class: "fields" }, ...parts));
  return group;
}

/** The section for a list of the document, such as its teams. */
function listSection(name, schema, opened) {
  const node = resolve(schema);
  const item = resolve(node.items);
  const items = (state.document[name] ??= []);
  const section = createElement("section", { "aria-label": name, "data-path": name, id: `f-${name}` });
  section.append(createElement("h2", {}, name), createElement("p", {}, node.description || ""));
  items.forEach((value, index) => {
    const path = `${name}[${index}]`;
    const remove = () => {
      items.splice(index, 1);
      render(`add-${name}`);
    };
    const label = value.name || `new item ${index + 1}`;
    const open = value.name === undefined || opened.has(value.name);
    const summary = createElement("summary", {}, label);
    const details = createElement("details", { open, "data-name": label }, summary);
    details.append(objectGroup(label, item, value, path), button(`Remove ${label}`, remove));
    section.append(details);
  });
  const add = button(`Add to ${name}`, () => {
    items.push(initialValue(item));
    render(`f-${name}[${items.length - 1}]`);
  });
  add.id = `add-${name}`;
  section.append(add);
  return section;
}

/** Renders all forms, keeps open items open, and focuses the element with the id `focus`. */
function render(focus) {
  const details = [...byId("forms").querySelectorAll("details[open]")];
  const opened = new Set(details.map((each) => each.dataset.name));
  const parts = orderedProperties(state.schema).map(([name, schema]) =>
    listSection(name, schema, opened));
  byId("forms").replaceChildren(...parts);
  const { version, hash } = state.base;
  byId("version").textContent = `Editing version ${version}, hash ${hash || "(none)"}`;
  byId("actions").hidden = false;
  if (focus) byId(focus)?.focus();
}

// ---- Problems ---------------------------------------------------------------------------------

/** The element for a path, or for its closest ancestor that has one. */
function closestElement(path) {
  for (let at = path; at; at = at.replace(/(\.[^.[\]]+|\[[^\]]*\])$|^[^.[\]]+$/, "")) {
    const element = byId(`f-${at}`);
    if (element) return element;
  }
  return byId("forms");
}

function clearProblems() {
  for (const element of document.querySelectorAll(".problem")) element.remove();
  for (const element of document.querySelectorAll("[aria-invalid]")) {
    element.removeAttribute("aria-invalid");
    element.removeAttribute("aria-errormessage");
  }
  show("problems");
}

/** Shows each problem next to its field, and lists all of them with links to the fields. */
function showProblems(problems) {
  clearProblems();
  const links = problems.map(({ path, message }, index) => {
    const element = closestElement(path);
    for (let at = element; at; at = at.parentElement) if (at.tagName === "DETAILS") at.open = true;
    const note = createElement("span", { class: "problem", id: `problem-${index}` }, message);
    element.setAttribute("aria-invalid", "true");
    element.setAttribute("aria-errormessage", note.id);
    if (element.tagName === "FIELDSET") element.prepend(note);
    else if (element.id !== "forms") element.after(note);
    return createElement("li", {}, button(`${path || "document"}: ${message}`, () => element.focus()));
  });
  if (!links.length) return;
  show("problems", createElement("h2", {}, "Problems"), createElement("ul", {}, ...links));
}

/** Problems that the browser's form validation finds, such as letters in a number. */
function localProblems() {
  const controls = [...byId("forms").querySelectorAll("input, select")];
  return controls
    .filter((control) => !control.checkValidity())
    .map((control) => ({ path: control.dataset.path, message: control.validationMessage }));
}

/** Checks the document in the browser and on the server; returns whether it has no problems. */
async function checkDocument() {
  let problems = localProblems();
  if (!problems.length) {
    const answer = await send("POST", "/v1/document/check", state.document);
    if (!answer.ok) {
      showRefusal("Document not checked", answer);
      return false;
    }
    problems = answer.body.problems;
  }
  showProblems(problems);
  setStatus(problems.length ? `${problems.length} problems found.` : "No problems found.");
  return problems.length === 0;
}

function showRefusal(summary, { status, body }) {
  setStatus(`${summary}: ${body.message || `status ${status}`}`);
  if (body.problems) showProblems(body.problems);
}

// ---- Document ---------------------------------------------------------------------------------

async function openDocument() {
  const [schema, current] = await Promise.all([
    send("GET", "/v1/document/schema"),
    send("GET", "/v1/document"),
  ]);
  for (const answer of [schema, current]) {
    if (!answer.ok) return showRefusal("Document not opened", answer);
  }
  state.schema = schema.body;
  startEditing(current.body, current.body.document);
  setStatus("Document opened.");
  await renderKeys();
}

/** Starts editing the document `edited`, which is based on the version `base`. */
function startEditing(base, edited) {
  state.base = base;
  state.document = clone(edited);
  state.pending = null;
  clearProblems();
  show("review");
  render();
}

const hasChanges = () => state.base && difference(state.base.document, state.document).length > 0;

async function reviewChanges() {
  const rows = difference(state.base.document, state.document);
  if (!rows.length) return setStatus("There are no changes.");
  if (!(await checkDocument())) return;
  const heading = createElement("h2", {}, `Changes to version ${state.base.version}`);
  const changes = table(["Field", "In force", "After applying"], rows);
  const back = button("Back", () => show("review"));
  show("review", heading, changes, button("Apply", applyDocument), back);
  byId("review").focus();
}

async function applyDocument() {
  const body = { from: state.base.version, document: state.document };
  const content = JSON.stringify(body);
  if (state.pending?.content !== content) state.pending = { content, request: requestId() };
  setStatus("Applying the changes.");
  const answer = await send("PUT", "/v1/document", { request: state.pending.request, ...body });
  if (answer.ok) {
    startEditing({ ...answer.body, document: clone(state.document) }, state.document);
    setStatus(`Version ${answer.body.version} is in force.`);
  } else if (answer.body.winner) {
    state.pending = null;
    await showConflict();
  } else if (answer.body.ran === "unknown") {
    setStatus(`The outcome is unknown: ${answer.body.message}. Press Apply again to find out.`);
  } else {
    state.pending = null;
    showRefusal("Changes not applied", answer);
  }
}

/** Shows the concurrent edit that was applied, and what the operator's edit would change in it. */
async function showConflict() {
  const answer = await send("GET", "/v1/document");
  if (!answer.ok) return showRefusal("Another edit was applied first and cannot be loaded", answer);
  const theirs = answer.body;
  const merged = merge(state.base.document, state.document, theirs.document);
  const keepChanges = () => {
    startEditing(theirs, merged);
    setStatus("Your changes were merged into the other edit. Review them before applying.");
  };
  const discardChanges = () => {
    startEditing(theirs, theirs.document);
    setStatus("Your changes were discarded.");
  };
  const other = difference(state.base.document, theirs.document);
  const own = difference(theirs.document, merged);
  show("review",
    createElement("h2", {}, `Not applied: version ${theirs.version} was applied first`),
    createElement("h3", {}, "The other edit"),
    table(["Field", `Version ${state.base.version}`, `Version ${theirs.version}`], other),
    createElement("h3", {}, "Your remaining changes"),
    table(["Field", `Version ${theirs.version}`, "With your changes"], own),
    button("Keep my changes and review them again", keepChanges),
    button("Discard my changes", discardChanges));
  byId("review").focus();
  setStatus("Another edit was applied first.");
}

// ---- Keys -------------------------------------------------------------------------------------

async function renderKeys() {
  const answer = await send("GET", "/v1/keys");
  if (!answer.ok) return showRefusal("Keys not listed", answer);
  const rows = answer.body.keys.map((key) => {
    const owner = key.operator ? "(operator)" : key.team;
    const action = key.withdrawn ? "" : button(`Withdraw ${key.id}`, () => withdrawKey(key.id));
    const cells = [key.id, owner, key.withdrawn ? "withdrawn" : "valid", action];
    return createElement("tr", {}, ...cells.map((cell) => createElement("td", {}, cell)));
  });
  byId("key-rows").replaceChildren(...rows);
  const teams = state.base.document.teams.map((team) => team.name);
  const options = teams.map((team) => createElement("option", { value: team }, team));
  byId("grant-team").replaceChildren(createElement("option", { value: "" }, "an operator"), ...options);
  byId("keys").hidden = false;
}

async function grantKey(event) {
  event.preventDefault();
  const team = byId("grant-team").value;
  const body = { request: requestId(), ...(team ? { team } : { operator: true }) };
  let answer = await send("POST", "/v1/keys", body);
  // A second attempt with the same request id cannot grant a second key if the first answer was lost.
  if (!answer.ok && answer.body.ran === "unknown") answer = await send("POST", "/v1/keys", body);
  const { id, key, message } = answer.body;
  byId("granted").textContent = answer.ok
    ? `Key ${id}, shown only once: ${key}`
    : `Not granted: ${message}${id ? ` (key ${id} exists; withdraw it and grant a new one)` : ""}`;
  await renderKeys();
}

async function withdrawKey(id) {
  if (!confirm(`Withdraw the key ${id}? This cannot be undone.`)) return;
  const answer = await send("POST", "/v1/keys/withdraw", { ids: [id] });
  if (!answer.ok) return showRefusal("Key not withdrawn", answer);
  await renderKeys();
  setStatus(`Key ${id} is withdrawn. Durability: ${answer.body.durable}.`);
}

// ---- Page -------------------------------------------------------------------------------------

const confirmDiscard = () => !hasChanges() || confirm("Discard the changes that are not applied?");

byId("open").addEventListener("submit", (event) => {
  event.preventDefault();
  if (!confirmDiscard()) return;
  state.key = byId("key").value.trim();
  byId("key").value = "";
  openDocument();
});
byId("check").addEventListener("click", checkDocument);
byId("compare").addEventListener("click", reviewChanges);
byId("reload").addEventListener("click", () => confirmDiscard() && openDocument());
byId("grant").addEventListener("submit", grantKey);
window.addEventListener("beforeunload", (event) => {
  if (hasChanges()) event.preventDefault();
});
