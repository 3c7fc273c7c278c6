"use strict";

const statusPath = "/v1/status?teams=true";

// Interval between the starts of two calls, in milliseconds.
const pollInterval = 2000;

// Time limit of a call, in milliseconds. An unresponsive host may accept
// connections without ever answering.
const callTimeout = 5000;

const dash = "–";

// The key exists only in this variable. It is never stored or put into a URL.
let key = "";

// Incremented whenever a key is entered or forgotten, so that an answer to a call
// with an earlier key is discarded.
let session = 0;

let timer = 0;
let call = null;
let lastAnswer = null;

const element = (id) => document.getElementById(id);

function showMessage(text) {
  // An unchanged message is not set again, because screen readers would read it again.
  if (element("message").textContent !== text) {
    element("message").textContent = text;
  }
  element("message").hidden = text === "";
}

function forgetKey(reason) {
  session++;
  key = "";
  lastAnswer = null;
  clearTimeout(timer);
  if (call) {
    call.abort();
  }
  for (const section of element("status").querySelectorAll("div")) {
    section.replaceChildren();
  }
  element("summary").textContent = "";
  element("note").textContent = "";
  element("status").hidden = true;
  element("forget").hidden = true;
  element("login").hidden = false;
  showMessage(reason);
}

function useKey(event) {
  event.preventDefault();
  const entered = element("key").value.trim();
  element("key").value = "";
  // The key must be printable ASCII without spaces to fit into an HTTP header; no
  // granted key has other characters.
  if (!/^[\x21-\x7e]+$/.test(entered)) {
    showMessage("The key is empty or has characters that no key contains.");
    return;
  }
  session++;
  key = entered;
  element("login").hidden = true;
  element("forget").hidden = false;
  showMessage("Waiting for the first answer.");
  poll(session);
}

async function poll(current) {
  const started = Date.now();
  const minDelay = await readStatus(current);
  if (current !== session) {
    return;
  }
  const delay = Math.max(minDelay, pollInterval - (Date.now() - started));
  timer = setTimeout(() => poll(current), delay);
}

// Fetches and shows the status once. Returns the minimum delay before the next
// call, in milliseconds; 0 means the usual interval.
async function readStatus(current) {
  call = new AbortController();
  const timeout = setTimeout(() => call.abort(), callTimeout);
  let response;
  let body;
  try {
    response = await fetch(statusPath, {
      headers: { Authorization: "Bearer " + key },
      cache: "no-store",
      credentials: "omit",
      redirect: "error",
      referrerPolicy: "no-referrer",
      signal: call.signal,
    });
    body = await response.json();
  } catch {
    body = null;
  } finally {
    clearTimeout(timeout);
  }
  if (current !== session) {
    return 0;
  }
  return handleResponse(response, body);
}

function handleResponse(response, body) {
  if (!response) {
    return markStale("The entry host does not answer. Trying again.");
  }
  if (response.status === 401) {
    forgetKey("The key is not known (401). It may have been withdrawn. Enter another one.");
    return 0;
  }
  if (response.status === 403) {
    forgetKey("The key has no operator role (403). Enter an operator key.");
    return 0;
  }
  if (response.status === 503) {
    const seconds = Number(response.headers.get("Retry-After")) || 0;
    const leaderless = body && body.code === "no-leader";
    const reason = leaderless ? "it has no contact with the leader; another entry host may answer" : "no reason is known";
    markStale(`The entry host can't answer now (503): ${reason}. Trying again.`);
    return seconds * 1000;
  }
  if (response.status !== 200 || !body) {
    return markStale(`The answer can't be used (status ${response.status}). Trying again.`);
  }
  lastAnswer = new Date();
  showMessage("");
  render(body);
  element("status").classList.remove("stale");
  element("status").hidden = false;
  return 0;
}

// Keeps the last values on the page, marks them as stale and shows their time.
function markStale(text) {
  element("status").classList.add("stale");
  const age = lastAnswer ? ` The values below are from ${time(lastAnswer)}.` : "";
  showMessage(text + age);
  return 0;
}

const time = (value) => (value ? new Date(value).toISOString().replace("T", " ").replace(/\.\d+Z$/, " UTC") : dash);

// Allotments of a limit are seldom whole numbers, so amounts are rounded to tenths.
const rounded = (n) => String(Math.round(n * 10) / 10);

function cores(text) {
  const [number, unit] = text.split(" ");
  return rounded(unit === "millicores" ? number / 1000 : Number(number)) + " cores";
}

function memory(text) {
  const units = { B: 1, KiB: 2 ** 10, MiB: 2 ** 20, GiB: 2 ** 30, TiB: 2 ** 40 };
  const [, number, unit] = /^(\d+)(\w+)$/.exec(text) || [];
  return unit in units ? rounded((number * units[unit]) / units.GiB) + " GiB" : text;
}

function capacity(c) {
  if (!c) {
    return dash;
  }
  const accelerators = c.accelerators ? `, ${c.accelerators} accelerators` : "";
  return `${cores(c.processors)}, ${memory(c.memory)}${accelerators}`;
}

// Parses a duration in the format of Go's time.Duration, such as "1m2.5s" or
// "950ms", and returns it in seconds.
function seconds(text) {
  const units = { h: 3600, m: 60, s: 1, ms: 1e-3, "µs": 1e-6, ns: 1e-9 };
  let sum = 0;
  for (const [, number, unit] of text.matchAll(/([\d.]+)(ms|µs|ns|h|m|s)/g)) {
    sum += Number(number) * units[unit];
  }
  return sum;
}

const lease = (text) => (text ? (seconds(text) > 0 ? seconds(text).toFixed(1) + " s" : attention("none")) : dash);

function attention(text) {
  const strong = document.createElement("strong");
  strong.className = "attention";
  strong.textContent = "▲ " + text;
  return strong;
}

// Returns the text for the service state of a data centre or pool.
const serviceText = (state) => (state === "in" ? "in service" : attention("OUT of service"));

function lines(texts) {
  const box = document.createElement("span");
  for (const text of texts) {
    const line = document.createElement("span");
    line.className = "line";
    line.textContent = text;
    box.append(line);
  }
  return texts.length ? box : dash;
}

// Fills a section with a table, or with the text none if there are no rows. Each
// row has one text or element per heading.
function fillSection(id, headings, rows, none) {
  if (rows.length === 0) {
    element(id).textContent = none;
    return;
  }
  const table = document.createElement("table");
  const head = table.createTHead().insertRow();
  for (const heading of headings) {
    const th = document.createElement("th");
    th.scope = "col";
    th.textContent = heading;
    head.append(th);
  }
  const body = table.createTBody();
  for (const row of rows) {
    const tr = body.insertRow();
    row.forEach((value, i) => {
      const td = tr.insertCell();
      td.dataset.label = headings[i];
      td.append(value);
    });
  }
  // An unchanged table is not replaced, so that a text selection is kept.
  if (!table.isEqualNode(element(id).firstChild)) {
    element(id).replaceChildren(table);
  }
}

function render(status) {
  renderSummary(status);
  renderNote(status);
  renderZones(status.zones);
  renderEntryHosts(status);
  renderMaintenance(status.maintenance);
  renderUnavailableHosts(status["unavailable-hosts"]);
  renderPools(status.pools);
  renderTeams(status);
}

function renderSummary(status) {
  element("summary").textContent =
    `Answer of ${status["entry-host"]} in ${status["data-centre"]} at ${time(lastAnswer)}: ` +
    `revision ${status.revision}, view ${status["view-epoch"]}, leader ${status.leader || "not known"}, ` +
    `voters ${(status.voters || []).join(", ")}.`;
}

function renderZones(zones) {
  const rows = zones.map((z) => [
    z.name,
    z.region,
    serviceText(z.state),
    z.scheduler || attention("none"),
    z["changed-at"] ? time(z["changed-at"]) : "start",
  ]);
  fillSection("zones", ["Data centre", "Region", "State", "Scheduler", "Since"], rows, "No data centre is defined.");
}

function renderEntryHosts(status) {
  const rows = status["entry-hosts"].map((h) => [
    h.name,
    h["data-centre"],
    h.leader ? "★ leader" : status.voters.includes(h.name) ? "voter" : "follower",
    h.revision === undefined ? dash : String(h.revision),
    lease(h["lease-left"]),
  ]);
  const present = new Set(status["entry-hosts"].map((h) => h.name));
  for (const name of status.voters.filter((v) => !present.has(v))) {
    rows.push([name, dash, attention("voter, not in the view"), dash, dash]);
  }
  fillSection("entry-hosts", ["Entry host", "Data centre", "Role", "Revision", "Lease left"], rows, "The view is empty.");
}

function renderMaintenance(list) {
  const rows = list.map((m) => [
    String(m.wave),
    m.pool || "every pool",
    time(m["started-at"]),
    progress(m),
  ]);
  fillSection("maintenance", ["Wave", "Pool", "Started", "Progress"], rows, "None.");
}

function progress(m) {
  const total = m["hosts-done"] + m["hosts-down"] + m["hosts-waiting"];
  const box = document.createElement("div");
  const bar = document.createElement("progress");
  bar.max = Math.max(total, 1);
  bar.value = m["hosts-done"];
  bar.setAttribute("aria-hidden", "true");
  box.append(bar, `${m["hosts-done"]} of ${total} done, ${m["hosts-down"]} down, ${m["hosts-waiting"]} waiting`);
  return box;
}

function renderUnavailableHosts(hosts) {
  const rows = hosts.map((h) => [
    h.name,
    h["data-centre"],
    h.rack,
    h.pool,
    h.state === "maintenance" ? "under maintenance" : h["moving-to"] ? `draining, moves to ${h["moving-to"]}` : "draining",
    h.wave ? `${h.wave}, since ${time(h["granted-at"])}` : dash,
  ]);
  fillSection("unavailable-hosts", ["Host", "Data centre", "Rack", "Pool", "State", "Wave"], rows, "None.");
}

function renderPools(pools) {
  const rows = pools.map((p) => [
    p.spare && p.name !== "spare" ? `${p.name} (spare)` : p.name,
    serviceText(p.state),
    `${p.hosts} (${p["min-hosts"]} to ${p["max-hosts"]})`,
    budget(p),
    `favour ${p.favour}`,
  ]);
  fillSection("pools", ["Pool", "State", "Hosts (bounds)", "Unavailable / budget", "Policy"], rows, "No pool is defined.");
}

function budget(p) {
  const text = `${p.unavailable} / ${p["availability-budget"]}`;
  if (p.unavailable > p["availability-budget"]) {
    return attention(`${text} over budget`);
  }
  return p.unavailable > 0 && p.unavailable === p["availability-budget"] ? `${text} budget used up` : text;
}

function renderTeams(status) {
  const uses = new Map((status.teams || []).map((t) => [t.team, t]));
  const rows = status["team-limits"].map((t) => {
    const use = uses.get(t.team);
    return [
      t.team,
      t.customer,
      String(t.share),
      capacity(t.limit),
      lines(t.allotments.map(allotment)),
      capacity(use && use.running),
      capacity(use && use.waiting),
    ];
  });
  fillSection("teams", ["Team", "Customer", "Share", "Limit", "Allotment", "Runs", "Waits"], rows, "No team has a contract.");
}

function allotment(a) {
  const amount = capacity(a.amount);
  const target = capacity(a.target);
  return `${a["data-centre"]}: ${amount}` + (target === amount ? "" : ` (shrinks to ${target})`);
}

function renderNote(status) {
  const note = missingInformation(status);
  element("note").textContent = note;
  element("note").hidden = note === "";
}

// Returns a note on information that is missing from the status, or "".
function missingInformation(status) {
  if (!status["fleet-known"]) {
    return `${status["entry-host"]} does not know what teams run, nor the revision and lease of other entry hosts. ` +
      `The leader knows: ${status.leader || "not known now"}.`;
  }
  const silent = status["silent-schedulers"] || [];
  return silent.length ? `No recent report from the scheduler of ${silent.join(", ")}; its part of the use is old or missing.` : "";
}

element("login").addEventListener("submit", useKey);
element("forget").addEventListener("click", () => forgetKey("The key is forgotten."));
// Browsers may cache a page in memory after the user has left it; the key must not
// remain there.
addEventListener("pagehide", () => forgetKey(""));
