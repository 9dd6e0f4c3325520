#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {userInfo} from 'node:os';
import meow from 'meow';
import {ConsulStore} from '../adapters/consul-store.js';
import {monotonicClock} from '../adapters/monotonic-clock.js';
import {commandExplainService} from '../cli/command-explain-service.js';
import {commandCheck} from '../cli/command-check.js';
import {commandDrain} from '../cli/command-drain.js';
import {commandExplainRequest} from '../cli/command-explain-request.js';
import {commandPublish} from '../cli/command-publish.js';
import {commandQuarantine} from '../cli/command-quarantine.js';
import {commandStatus} from '../cli/command-status.js';
import {type CliContext} from '../cli/context.js';
import {exitCode} from '../cli/exit-code.js';
import {OperatorClient} from '../cli/operator-client.js';
import {Output} from '../cli/output.js';
import {SocketAddress} from '../config/socket-address.js';
import {Publisher} from '../publisher.js';

const cli = meow(`
	Usage
	  $ cowslipspar COMMAND [ARGUMENTS]

	Commands
	  check FILES…                 Check operators' files; connects to no host
	  publish DIR                  Publish the files of a directory             (--store, --host)
	  status                       Show the state of every host                 (--host)
	  lookup SERVICE               Show the entry hosts that callers receive    (--host)
	  explain SERVICE              Explain how lookups and requests are routed  (--host)
	  explain ID < LOGS            Show what happened to one request, from the hosts' logs
	  drain KIND NAME              Drain a host, instance, zone or region       (--store, --host)
	  undrain KIND NAME            Put it back into use                         (--store, --host)
	  quarantine                   List requests refused for crashing instances (--host)
	  quarantine lift FINGERPRINT  Accept such a request again                  (--host)

	Options
	  --store ADDRESS   Address of the store, for example 10.0.0.5:8500
	  --prefix TEXT     Prefix of the system's keys; default: cowslipspar/
	  --host ADDRESS    Address of any host's operators' interface
	  --author NAME     Author of the publication; default: the current user's name
	  --wait MS         Maximum time to wait until a publication is in force; default: 10000
	  --json            Write one line of JSON instead of text

	Exit codes
	  0 success   1 usage error   2 invalid files   3 another publication was first
	  4 store or host unreachable   5 published, not yet in force everywhere   6 not found

	Examples
	  $ cowslipspar check services/
	  $ cowslipspar publish services/ --store 10.0.0.5:8500 --host 10.0.1.7:7202
	  $ cowslipspar drain zone dsm-a --store 10.0.0.5:8500 --host 10.0.1.7:7202
	  $ cowslipspar status --host 10.0.1.7:7202 --json
`, {
	importMeta: import.meta,
	flags: {
		store: {type: 'string'},
		prefix: {type: 'string', default: 'cowslipspar/'},
		host: {type: 'string'},
		author: {type: 'string', default: userInfo().username},
		wait: {type: 'number', default: 10_000},
		json: {type: 'boolean', default: false},
	},
});

const storeTimeoutMs = 3000;
const {flags} = cli;
const output = new Output(flags.json);

async function run(ctx: CliContext, command: string): Promise<number> {
	switch (command) {
		case 'check': {
			return commandCheck(ctx);
		}

		case 'publish': {
			return commandPublish(ctx);
		}

		case 'status': {
			return commandStatus(ctx);
		}

		case 'lookup': {
			return commandExplainService(ctx, true);
		}

		case 'explain': {
			return ctx.operator === undefined && !process.stdin.isTTY ? commandExplainRequest(ctx, readFileSync(process.stdin.fd, 'utf8')) : commandExplainService(ctx, false);
		}

		case 'drain': {
			return commandDrain(ctx, true);
		}

		case 'undrain': {
			return commandDrain(ctx, false);
		}

		case 'quarantine': {
			return commandQuarantine(ctx);
		}

		default: {
			output.fail('usage', command === '' ? 'a command is required; see --help' : `unknown command ${command}; see --help`);
			return exitCode.usage;
		}
	}
}

function openStore(address: string): ConsulStore {
	return new ConsulStore({
		address, prefix: flags.prefix, timeoutMs: storeTimeoutMs, clock: monotonicClock, onCall() {/* Calls are not counted here. */},
	});
}

function findInvalidAddress(): string | undefined {
	return [flags.store, flags.host].find(address => address !== undefined && !SocketAddress.safeParse(address).success);
}

const invalidAddress = findInvalidAddress();
if (invalidAddress === undefined) {
	const store = flags.store === undefined ? undefined : openStore(flags.store);
	const [command = '', ...args] = cli.input;
	process.exitCode = await run({
		args,
		output,
		operator: flags.host === undefined ? undefined : new OperatorClient(flags.host),
		publisher: store === undefined ? undefined : new Publisher(store, flags.author),
		waitMs: flags.wait,
	}, command);
	store?.close();
} else {
	output.fail('usage', `expected an IPv4 address and a port, got "${invalidAddress}"`);
	process.exitCode = exitCode.usage;
}
