import { MeshSpecification } from "../emulator/MeshSpecification";
import { Firm } from "./Firm";

const ZONES = 4;
const LATENCY_MS = 4;

/** Returns one host for each backend server of the firm's two services, spread over four zones. */
export const benchHosts = (firm: Firm, latencyMs: number = LATENCY_MS): MeshSpecification["hosts"] => {
    const services = [
        ...Array.from({ length: firm.instances }, () => firm.service),
        ...Array.from({ length: firm.otherInstances }, () => firm.otherService),
    ];
    return services.map((service, index) => ({
        id: `node-${index + 1}`,
        zone: `zone-${String.fromCharCode(97 + (index % ZONES))}`,
        backends: [{ service, backendVersion: "v0", slots: firm.slots, latencyMs }],
    }));
};
