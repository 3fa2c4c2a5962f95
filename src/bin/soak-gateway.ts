/** The gateway daemon for a soak, which can partition it from all targets by a message. */
import { runGatewayProcess } from './gateway-process.js';
import { type PartitionFault, TargetNetwork } from '../soak/target-network.js';

const network = new TargetNetwork();
process.on('message', (fault: PartitionFault) => network.setFault(fault));
// The channel of the soak does not keep a stopped daemon running.
process.channel?.unref();
runGatewayProcess(network.open);
