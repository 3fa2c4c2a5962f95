#!/usr/bin/env node
/** The operators' command line as a process. */
import { EXIT, runCommand } from '../cli/index.js';

const result = await runCommand(process.argv.slice(2));
const stream = result.code === EXIT.ok ? process.stdout : process.stderr;
stream.write(`${result.text}\n`);
process.exitCode = result.code;
