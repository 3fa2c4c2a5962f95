#!/usr/bin/env node
/** The gateway daemon. */
import { runGatewayProcess } from './gateway-process.js';
import { openTcpSocket } from '../kernel/index.js';

runGatewayProcess(openTcpSocket);
