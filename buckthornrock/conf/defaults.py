"""The value of every setting that a settings file may leave out."""

# Entry port
ENTRY_HOST = "127.0.0.1"
#: Threads that serve callers; an open stream holds one.
ENTRY_N_THREADS = 256
ENTRY_MAX_BODY_BYTES = 8_000_000
#: What requests and unread responses may take. One request may take 7/8 of it, and
#: decoding the largest body may take 66 times the body's size.
ENTRY_MAX_HELD_BYTES = 671_088_640
#: Fewer if the process may open fewer descriptors.
ENTRY_MAX_CONNECTIONS = 4_096
ENTRY_READ_TIMEOUT_MS = 10_000
#: Time for the whole body, and for a client to take a whole response or part of it.
ENTRY_BODY_TIMEOUT_MS = 120_000
ENTRY_SEND_TIMEOUT_MS = 120_000
#: Deadline of a request that states none.
ENTRY_DEADLINE_MS = 60_000
#: How long a stopping instance still accepts, while the balancer hears of it.
ENTRY_DRAIN_GRACE_MS = 3_000
#: Longest wait for requests in flight; those that are left are cut.
ENTRY_DRAIN_LIMIT_MS = 120_000

# Operator port
OPERATOR_HOST = "127.0.0.1"
OPERATOR_N_THREADS = 4
#: A profile of 1,700 client accounts takes about 200 KB.
OPERATOR_MAX_BODY_BYTES = 2_000_000
OPERATOR_MAX_HELD_BYTES = 167_772_160
OPERATOR_MAX_CONNECTIONS = 256
OPERATOR_READ_TIMEOUT_MS = 10_000
OPERATOR_BODY_TIMEOUT_MS = 120_000
OPERATOR_SEND_TIMEOUT_MS = 120_000

# The platform's key-value service
KV_TIMEOUT_MS = 1_000
KV_LEASE_TTL_S = 10
KV_KEY_PREFIX = "btr/"
#: The fleet's budget; an instance may use its share.
KV_FLEET_WRITES_PER_S = 300.0
KV_FLEET_READS_PER_S = 2_000.0

# The platform's instance list
INSTANCE_LIST_PERIOD_MS = 1_000

# Inner protocol
WIRE_N_CONTEXTS = 4
WIRE_TIMEOUT_MS = 500
WIRE_MAX_FRAME_BYTES = 1_048_576

# Upstreams
UPSTREAM_CONNECT_TIMEOUT_MS = 500
UPSTREAM_READ_TIMEOUT_MS = 30_000
#: An engine that gives no first token for so long is given up for this request.
UPSTREAM_FIRST_TOKEN_TIMEOUT_MS = 15_000
#: A stream on which nothing moves for so long is continued elsewhere.
UPSTREAM_STALL_TIMEOUT_MS = 3_000
UPSTREAM_POLL_PERIOD_MS = 250
UPSTREAM_BLOCK_BYTES = 64
#: Responses of plain services up to this size are read whole before they are passed on.
UPSTREAM_ANSWER_BUFFER_BYTES = 262_144
UPSTREAM_MAX_ANSWER_BYTES = 67_108_864

# Orders to engines
#: Engines of the fleet that may load weights at once.
ORDERS_N_LOAD_SLOTS = 2
ORDERS_TIMEOUT_MS = 1_000
#: Longest time that an engine takes to load weights while the slots are kept.
ORDERS_LOAD_TIME_MS = 4_000
ORDERS_STEP_PERIOD_MS = 500
ORDERS_REFRESH_PERIOD_MS = 3_000

# Idempotency keys
IDEMPOTENCY_RETENTION_S = 86_400
#: Larger responses are recorded as having run, without their body.
IDEMPOTENCY_MAX_OUTCOME_BYTES = 65_536
IDEMPOTENCY_ISSUED_KEY_TTL_MS = 600_000
#: Issued keys in use whose outcome an instance keeps in memory.
IDEMPOTENCY_N_ISSUED_KEYS = 10_000

# Routing
#: One way between two failure domains.
ROUTING_CROSS_DOMAIN_MS = 1.0
ROUTING_EVENT_PERIOD_MS = 100
ROUTING_DIGEST_PERIOD_MS = 100
#: Cached blocks that the index keeps for one engine.
ROUTING_MAX_BLOCKS_PER_UPSTREAM = 65_536

# Profiles
PROFILE_NAME = "default"

# Telemetry
STATSD_HOST = ""
STATSD_PORT = 8125
STATSD_PREFIX = "buckthornrock"
#: Share of requests that has to be on time.
TELEMETRY_OBJECTIVE = 0.95
#: The burn report counts in slots of this length, over 30 and over 360 of them.
TELEMETRY_BURN_SLOT_MS = 10_000
#: Decision records that an instance keeps.
TELEMETRY_DECISIONS = 1_024

# Admission: ranks, queues and limits
#: "queues", or "unlimited" to let everything in, as a baseline of measurements.
ADMISSION_POLICY = "queues"
#: "aimd", "gradient" or "fixed".
ADMISSION_CONTROLLER = "aimd"
#: Delay of first tokens beyond their own prefill at which the window shrinks.
ADMISSION_TARGET_DELAY_MS = 250
#: Work at one engine, of all instances, before anything was measured, in tokens.
ADMISSION_WINDOW_TOKENS = 16_384
#: Requests that may be at an engine, from all instances, however late they are.
ADMISSION_MIN_REQUESTS_PER_ENGINE = 3.0
#: Work of one output token, in prompt tokens.
ADMISSION_OUTPUT_TOKEN_COST = 3.0
#: Share of the window that deferrable work leaves free.
ADMISSION_URGENT_HEADROOM = 0.1
ADMISSION_DEFERRABLE_WAIT_MS = 60_000
#: Shares of the entry port's threads that may be held by all completions, and by
#: deferrable ones; the rest answers refusals and reads.
ADMISSION_CALLER_SHARE = 0.9
ADMISSION_DEFERRABLE_SHARE = 0.5
#: Time between two reports of demand; a share is good for a few periods.
ADMISSION_SHARE_PERIOD_MS = 1_000

# Deferred work
#: Runs at once; each waits for admission in a thread of its own.
DEFERRED_N_WORKERS = 32
DEFERRED_SCAN_PERIOD_MS = 3_000
#: Jobs that one instance holds; it accepts more, but leaves them to others.
DEFERRED_MAX_HELD_JOBS = 2_000
#: Responses that may wait in memory for the key-value service.
DEFERRED_MAX_UNSAVED_BYTES = 16_000_000
#: Share of the entry port's threads that may wait for a job's acceptance.
DEFERRED_SUBMITTER_SHARE = 0.25
DEFERRED_SUBMIT_TIMEOUT_MS = 3_000
#: Results are kept this long beyond the deadline.
DEFERRED_RETENTION_MS = 86_400_000
#: Share of the key-value service's writes that deferred work may use.
DEFERRED_KV_WRITE_SHARE = 0.5
